package boragering.gateway

import boragering.core.DaemonId
import boragering.core.Rendezvous
import boragering.core.membership.Peers
import boragering.core.membership.Registration
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The source from which a gateway reads document changes. */
sealed interface DocumentSource {
    /** The store itself. */
    data object Store : DocumentSource

    /** Another gateway, which reads the store. */
    data class Reader(val daemon: DaemonId) : DocumentSource
}

/**
 * Selects the source from which a gateway reads document changes. To limit the load of hundreds of gateways on the
 * store, a few gateways in each region (readers) read the store, and the others read from them. A gateway whose
 * documents have not been confirmed for some time, or not since its reader failed, reads the store itself, whatever the
 * state of the readers. Not thread safe.
 *
 * @param mayPlan whether this gateway is the planner or may be; the planner acts on the documents and therefore reads
 *   them itself.
 */
class DocumentSourceSelector(private val peers: Peers, private val mayPlan: () -> Boolean) {
    private val avoidedUntil = HashMap<DaemonId, Duration>()
    private var cachedLive: List<Registration>? = null
    private var readers = emptyList<Registration>()
    private var lastFailureAt: Duration? = null

    /** Whether readers relay changes to other gateways; they then have to confirm their documents continuously. */
    val relayEnabled: Boolean get() = peers.live.size > MAX_DIRECT_READERS

    /** Whether this gateway always reads the store: as planner, as reader, or because there are few gateways. */
    val readsStore: Boolean get() = mayPlan() || !relayEnabled || readers().any { it.daemon == peers.self.daemon }

    /** Selects the source at [now] for a gateway whose documents were last confirmed at [confirmedAt]. */
    fun select(now: Duration, confirmedAt: Duration?): DocumentSource {
        if (readsStore || confirmedAt == null || outdated(confirmedAt, now)) return DocumentSource.Store
        val usable = readers().filter { avoidedUntil[it.daemon].let { until -> until == null || until <= now } }
        val own = peers.self
        // A reader in the same availability zone avoids traffic between zones. Gateways in a zone without a reader
        // are spread over all readers.
        val ranked = Rendezvous.top(own.daemon.value, usable, usable.size) { it.daemon.value }
        val chosen = ranked.firstOrNull { it.availabilityZone == own.availabilityZone } ?: ranked.firstOrNull()
        return chosen?.let { DocumentSource.Reader(it.daemon) } ?: DocumentSource.Store
    }

    /** Avoids [reader] for some time from [now] on, because it did not answer or cannot confirm its documents. */
    fun markFailed(reader: DaemonId, now: Duration) {
        avoidedUntil.values.removeIf { it <= now }
        avoidedUntil[reader] = now + AVOIDANCE_TIME
        lastFailureAt = now
    }

    /** A second reader that fails, too, would delay a change beyond the time allowed for it. */
    private fun outdated(confirmedAt: Duration, now: Duration): Boolean =
        now - confirmedAt > MAX_CONFIRMATION_AGE || lastFailureAt.let { it != null && confirmedAt < it }

    private fun readers(): List<Registration> {
        val live = peers.live
        if (live !== cachedLive) {
            cachedLive = live
            readers = live.groupBy { it.region }.values.flatMap(::selectReaders)
        }
        return readers
    }

    /** Selects the readers of one region: on gateways with many cores, in as many availability zones as possible. */
    private fun selectReaders(region: List<Registration>): List<Registration> {
        val maxCores = region.maxOf { it.cores }
        val strong = region.filter { it.cores * 2 >= maxCores }
        val ranked = Rendezvous.top(RENDEZVOUS_KEY, strong, strong.size) { it.daemon.value }
        val zoneRanks = ranked.groupBy { it.availabilityZone }.values.flatMap { it.withIndex() }
        return zoneRanks.sortedBy { it.index }.take(READERS).map { it.value }
    }

    /** Limits for the selection of readers and sources. */
    companion object {
        /** Number of gateways up to which every gateway reads the store. */
        const val MAX_DIRECT_READERS = 16

        /** Number of readers in each region, not counting the planner. */
        const val READERS = 3

        /** Age of the last confirmation above which a gateway reads the store itself. */
        val MAX_CONFIRMATION_AGE = 1_300.milliseconds

        /** Time for which a failed reader is not selected. */
        private val AVOIDANCE_TIME = 3.seconds
        private const val RENDEZVOUS_KEY = "document-reader"
    }
}
