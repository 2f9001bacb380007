package boragering.fleet

import kotlin.time.Duration

/** The rate of requests that one target takes, as its answers state it. Times are of the monotonic clock. */
class TargetRate {
    private var statement: RateStatement = RateStatement.Unlimited
    private var statedAt = Duration.ZERO

    /**
     * Records the statement in an answer that arrived at [now], to a request that was sent at [sentAt]. Returns whether
     * it is new. An answer to a request from before the last statement may be older than that.
     */
    fun record(stated: RateStatement, sentAt: Duration, now: Duration): Boolean {
        if (stated == RateStatement.Unlimited && sentAt < statedAt) return false
        val changed = stated != statement
        statement = stated
        statedAt = now
        return changed
    }
}
