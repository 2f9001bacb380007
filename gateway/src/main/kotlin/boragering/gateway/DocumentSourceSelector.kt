package boragering.gateway

import boragering.core.DaemonId
import boragering.core.Rendezvous
import boragering.core.membership.Peers
import boragering.core.membership.Registration
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** From whom a gateway learns of changes of documents. */
sealed interface DocumentSource {
    /** From the store itself. */
    data object Store : DocumentSource

    /** From another gateway. */
    data class Reader(val daemon: DaemonId) : DocumentSource
}

/**
 * Decides from whom a gateway learns of changes. It answers the load of hundreds of gateways on the store: in each
 * region a few of them read the store, and the others learn from these. A gateway whose knowledge has not been proven
 * for some time reads the store itself, whatever became of the readers. Not safe for use by several threads.
 *
 * @param mayPlan whether this gateway plans, or may; a planner acts on the documents and reads them itself.
 */
class DocumentSourceSelector(private val peers: Peers, private val mayPlan: () -> Boolean) {
    private val avoidedUntil = HashMap<DaemonId, Duration>()
    private var cachedLive: List<Registration>? = null
    private var readers = emptyList<Registration>()

    /** Whether gateways pass changes on, so that a reader has to prove its knowledge all the time. */
    val relayEnabled: Boolean get() = peers.live.size > MAX_DIRECT_READERS

    /** Whether this gateway reads the store in any case. */
    val readsStore: Boolean get() = mayPlan() || !relayEnabled || readers().any { it.daemon == peers.self.daemon }

    /** The source at [now], when the gateway's knowledge was proven last at [confirmedAt]. */
    fun select(now: Duration, confirmedAt: Duration?): DocumentSource {
        if (readsStore || confirmedAt == null || now - confirmedAt > MAX_CONFIRMATION_AGE) return DocumentSource.Store
        val usable = readers().filter { avoidedUntil[it.daemon].let { until -> until == null || until <= now } }
        val own = peers.self
        // A reader of the same availability zone costs no traffic between zones; others share those without one.
        val ranked = Rendezvous.top(own.daemon.value, usable, usable.size) { it.daemon.value }
        val chosen = ranked.firstOrNull { it.availabilityZone == own.availabilityZone } ?: ranked.firstOrNull()
        return chosen?.let { DocumentSource.Reader(it.daemon) } ?: DocumentSource.Store
    }

    /** [reader] did not answer at [now], or cannot prove what it knows. */
    fun markFailed(reader: DaemonId, now: Duration) {
        avoidedUntil.values.removeIf { it <= now }
        avoidedUntil[reader] = now + AVOIDANCE_TIME
    }

    private fun readers(): List<Registration> {
        val live = peers.live
        if (live !== cachedLive) {
            cachedLive = live
            readers = live.groupBy { it.region }.values.flatMap(::selectReaders)
        }
        return readers
    }

    /** Readers of one region: on its stronger machines, in as many availability zones as possible. */
    private fun selectReaders(region: List<Registration>): List<Registration> {
        val maxCores = region.maxOf { it.cores }
        val strong = region.filter { it.cores * 2 >= maxCores }
        val ranked = Rendezvous.top(RENDEZVOUS_KEY, strong, strong.size) { it.daemon.value }
        val zoneRanks = ranked.groupBy { it.availabilityZone }.values.flatMap { it.withIndex() }
        return zoneRanks.sortedBy { it.index }.take(READERS).map { it.value }
    }

    /** Constants of the distribution. */
    companion object {
        /** Number of gateways up to which each reads the store. */
        const val MAX_DIRECT_READERS = 16

        /** Gateways of a region that read the store, besides the planner. */
        const val READERS = 3

        /** Age of the last proof from which on a gateway reads the store itself. */
        val MAX_CONFIRMATION_AGE = 1_300.milliseconds

        /** Time for which a reader that failed is not asked. */
        private val AVOIDANCE_TIME = 3.seconds
        private const val RENDEZVOUS_KEY = "document-reader"
    }
}
