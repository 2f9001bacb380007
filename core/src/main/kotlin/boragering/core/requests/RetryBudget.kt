package boragering.core.requests

import boragering.core.Clock
import boragering.core.DecayingSum
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
    fun recordRequest() = requests.add(clock.monotonic())

    /** Takes one retry from the budget. Returns `false` if the budget is used up. */
    @Synchronized
    fun tryTake(): Boolean {
        val now = clock.monotonic()
        val allowed = MINIMUM_RETRIES + RETRY_FRACTION * requests.value(now)
        return (retries.value(now) + 1 <= allowed).also { if (it) retries.add(now) }
    }

    private companion object {
        val WINDOW = 10.seconds
        const val RETRY_FRACTION = 0.1

        /** Retries that are allowed in addition to the fraction, so that entries with few requests can retry at all. */
        const val MINIMUM_RETRIES = 3.0
    }
}
