package boragering.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Notices when the event loop runs late, as it does in a process that gets too little processor time: what is read then
 * has arrived some time ago, and its caller may have left since. Times are of the monotonic clock. Used on the event
 * loop only.
 */
internal class LoopLag(startedAt: Duration) {
    private var nextTurnAt = startedAt
    private var lastLag = Duration.ZERO

    /** Records a turn of the loop at [now]; the next one is due after [interval]. */
    fun onTurn(now: Duration, interval: Duration) {
        lastLag = now - nextTurnAt
        nextTurnAt = now + interval
    }

    /** Whether this turn or the one before it is so late that callers may have left meanwhile. */
    fun late(now: Duration): Boolean = maxOf(lastLag, now - nextTurnAt) > MAX_LAG

    private companion object {
        /** Connections may wait for several turns of the loop before they are read. */
        val MAX_LAG = 100.milliseconds
    }
}
