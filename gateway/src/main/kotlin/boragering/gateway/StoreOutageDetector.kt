package boragering.gateway

import boragering.core.DaemonId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Finds out whether the store answers no gateway at all. Then nobody can have become the planner since, and the planner
 * may go on without the store. Used on the event loop only.
 */
class StoreOutageDetector {
    private class Statement(val storeAnswers: Boolean, val at: Duration)

    private val statements = HashMap<DaemonId, Statement>()

    /** Takes what [gateway] says of the store at [now], a time of the monotonic clock. */
    fun heard(gateway: DaemonId, storeAnswers: Boolean, now: Duration) {
        statements[gateway] = Statement(storeAnswers, now)
    }

    /** Whether most of [others], live gateways, said lately that the store does not answer, and none that it does. */
    fun certain(others: Collection<DaemonId>, now: Duration): Boolean {
        val recent = others.mapNotNull { statements[it] }.filter { now - it.at < VALIDITY }
        return recent.none { it.storeAnswers } && recent.size * 2 > others.size.coerceAtMost(ASKED)
    }

    /** Constants of the questions about the store. */
    companion object {
        /** Gateways that are asked at a time. */
        const val ASKED = 8

        /**
         * Time for which a statement holds. A gateway that the store answers again competes for the planner's lock only
         * after a longer time, in which this one hears of it.
         */
        private val VALIDITY = 1_500.milliseconds
    }
}
