package boragering.core.requests

import boragering.core.Clock
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits the retries of one entry to a fraction of its recent requests, so that retries do not multiply the load on
 * targets that fail because of overload. Thread-safe.
 */
internal class RetryBudget(private val clock: Clock) {
    private val requests = DecayingSum(WINDOW)
    private val retries = DecayingSum(WINDOW)

    /** Counts a new request. */
    @Synchronized
    fun recordRequest() = requests.add(clock.monotonic(), 1.0)

    /** Takes one retry from the budget. Returns `false` if the budget is used up. */
    @Synchronized
    fun tryTake(): Boolean {
        val now = clock.monotonic()
        val allowed = MINIMUM_RETRIES + RETRY_FRACTION * requests.value(now)
        return (retries.value(now) + 1 <= allowed).also { if (it) retries.add(now, 1.0) }
    }

    private companion object {
        val WINDOW = 10.seconds
        const val RETRY_FRACTION = 0.1

        /** Retries that are allowed in addition to the fraction, so that entries with few requests can retry at all. */
        const val MINIMUM_RETRIES = 3.0
    }
}

/**
 * An exponentially decaying sum: the weight of each amount falls by a factor of e in each [window]. Not thread-safe.
 */
internal class DecayingSum(private val window: Duration) {
    private var sum = 0.0
    private var updatedAt = Duration.ZERO

    /** Adds [amount] at the monotonic time [now]. */
    fun add(now: Duration, amount: Double) {
        sum = value(now) + amount
        updatedAt = now
    }

    /** The sum at the monotonic time [now]. */
    fun value(now: Duration): Double = sum * exp(-((now - updatedAt) / window).coerceAtLeast(0.0))
}
