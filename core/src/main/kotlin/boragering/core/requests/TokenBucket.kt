package boragering.core.requests

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Token bucket rate limiter that allows a burst of one second's worth of tokens. Not thread-safe. */
internal class TokenBucket(now: Duration) {
    private var tokens = Double.MAX_VALUE
    private var refilledAt = now

    /**
     * Takes a token, with [perSecond] tokens added per second. Returns `null` on success, otherwise the time until a
     * token is available.
     */
    fun tryTake(now: Duration, perSecond: Int): Duration? {
        val refilled = tokens + perSecond * ((now - refilledAt) / 1.seconds).coerceAtLeast(0.0)
        tokens = refilled.coerceAtMost(perSecond.toDouble().coerceAtLeast(1.0))
        refilledAt = now
        return if (tokens >= 1.0) {
            tokens -= 1.0
            null
        } else {
            ((1.0 - tokens) / perSecond.coerceAtLeast(1)).seconds
        }
    }
}
