package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A count of recent events. What was added loses all but 1/e of its weight within [memory]. Times are of the monotonic
 * clock. Not thread-safe.
 */
internal class DecayingCount(private val memory: Duration) {
    private val decay = ExponentialDecay(memory)
    private var count = 0.0
    private var at = Duration.ZERO

    /** Adds [amount] events at [now]. */
    fun add(now: Duration, amount: Double = 1.0) {
        count = value(now) + amount
        at = now
    }

    /** The count at [now]. */
    fun value(now: Duration): Double = count * decay.weight(now - at)

    /** The number of events per second at [now], if they arrive evenly. */
    fun perSecond(now: Duration): Double = value(now) / (memory / 1.seconds)
}
