package boragering.core.requests

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limits a rate; a burst of one second's worth is allowed. Not safe for several threads. */
internal class TokenBucket(now: Duration) {
    private var tokens = Double.MAX_VALUE
    private var refilledAt = now

    /** Takes a token at [perSecond] tokens a second; otherwise the time until there is one. */
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
