package boragering.gateway

import boragering.core.DaemonId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Detects an outage in which the store answers no gateway at all. No other gateway can become the planner during such
 * an outage, so that the planner may continue without the store. Used on the event loop only.
 */
class StoreOutageDetector {
    private class PeerStatement(val storeReachable: Boolean, val at: Duration)

    private val statements = HashMap<DaemonId, PeerStatement>()

    /** Records whether the store answers [gateway], as reported at [now], a time of the monotonic clock. */
    fun record(gateway: DaemonId, storeReachable: Boolean, now: Duration) {
        statements[gateway] = PeerStatement(storeReachable, now)
    }

    /**
     * Whether a majority of [others], or of [PEERS_ASKED] if there are more, recently reported that the store does not
     * answer, and none that it does. [others] are the live gateways without this one.
     */
    fun isCertain(others: Collection<DaemonId>, now: Duration): Boolean {
        val recent = others.mapNotNull { statements[it] }.filter { now - it.at < STATEMENT_VALIDITY }
        return recent.none { it.storeReachable } && recent.size * 2 > others.size.coerceAtMost(PEERS_ASKED)
    }

    /** Constants of the requests to peers. */
    companion object {
        /** Number of peers that the planner asks at a time. */
        const val PEERS_ASKED = 8

        /**
         * Time for which a statement is valid. A gateway that the store answers again waits longer than this before it
         * tries to acquire the planner's lock, so that this gateway learns of the recovery first.
         */
        private val STATEMENT_VALIDITY = 1_500.milliseconds
    }
}
