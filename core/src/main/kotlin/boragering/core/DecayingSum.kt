package boragering.core

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * An exponentially decaying sum: what was added loses all but 1/e of its weight within [memory]. Times are of the
 * monotonic clock. Not thread-safe.
 */
class DecayingSum(private val memory: Duration) {
    private var sum = 0.0
    private var updatedAt = Duration.ZERO

    /** Adds [amount] at [now]. */
    fun add(now: Duration, amount: Double = 1.0) {
        sum = value(now) + amount
        updatedAt = now
    }

    /** The sum at [now]. */
    fun value(now: Duration): Double = sum * exp(-((now - updatedAt) / memory).coerceAtLeast(0.0))

    /** The amount per second at [now], if amounts are added evenly. */
    fun perSecond(now: Duration): Double = value(now) / (memory / 1.seconds)
}
