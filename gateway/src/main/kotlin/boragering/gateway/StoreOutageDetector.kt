package boragering.gateway

import boragering.core.DaemonId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Finds out whether the store answers no gateway at all. Then nobody can have become the planner since, and the planner
 * may go on without the store. Used on the event loop only.
 */
class StoreOutageDetector {
    private class PeerStatement(val storeReachable: Boolean, val at: Duration)

    private val statements = HashMap<DaemonId, PeerStatement>()

    /** Takes what [gateway] says of the store at [now], a time of the monotonic clock. */
    fun record(gateway: DaemonId, storeReachable: Boolean, now: Duration) {
        statements[gateway] = PeerStatement(storeReachable, now)
    }

    /** Whether most of [others], live gateways, said lately that the store does not answer, and none that it does. */
    fun isCertain(others: Collection<DaemonId>, now: Duration): Boolean {
        val recent = others.mapNotNull { statements[it] }.filter { now - it.at < STATEMENT_VALIDITY }
        return recent.none { it.storeReachable } && recent.size * 2 > others.size.coerceAtMost(PEERS_ASKED)
    }

    /** Constants of the questions about the store. */
    companion object {
        /** Gateways that are asked at a time. */
        const val PEERS_ASKED = 8

        /**
         * Time for which a statement holds. A gateway that the store answers again competes for the planner's lock only
         * after a longer time, in which this one hears of it.
         */
        private val STATEMENT_VALIDITY = 1_500.milliseconds
    }
}
