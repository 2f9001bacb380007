package boragering.daemon

import boragering.core.RequestId
import boragering.core.catalogue.ApplyAnswer
import boragering.core.catalogue.ApplyRequest
import boragering.core.catalogue.CatalogueAnswer
import boragering.core.catalogue.CatalogueFormat
import boragering.core.catalogue.CatalogueSource
import boragering.core.catalogue.CatalogueWriter
import boragering.core.catalogue.Entry
import boragering.core.catalogue.HistoryAnswer
import boragering.core.catalogue.ModelEntry
import boragering.core.groups.DivisionSource
import boragering.core.groups.DomainController
import boragering.core.groups.GroupHealth
import boragering.core.groups.GroupStatus
import boragering.core.groups.GroupsAnswer
import boragering.core.groups.toTimelineEvent
import boragering.core.membership.Peers
import boragering.core.operators.EntryStatus
import boragering.core.operators.PeersAnswer
import boragering.core.operators.RequestAnswer
import boragering.core.operators.StatusAnswer
import boragering.core.operators.TimelineAnswer
import boragering.core.requests.AdmissionController
import boragering.core.timeline.TimelineBuffer
import boragering.core.timeline.TimelineQuery

/** The components of the daemon from which [DaemonOperatorService] answers operators. */
internal data class OperatorSources(
    val peers: Peers,
    val catalogue: CatalogueSource,
    val divisions: DivisionSource,
    val health: GroupHealth,
    val controller: DomainController,
    val admission: AdmissionController,
    val timeline: TimelineBuffer,
    val writer: CatalogueWriter,
    val store: ObservedStore,
    val gate: RequestGate,
    val ready: () -> Boolean,
)

/** Answers operators' requests from the state of this daemon, and applies their catalogue changes. */
internal class DaemonOperatorService(private val sources: OperatorSources) : OperatorService {
    private val self get() = sources.peers.self

    override fun status(): StatusAnswer {
        val groups = sources.health.status()
        val entries = sources.catalogue.current()?.entries?.values.orEmpty()
        return StatusAnswer(
            daemon = self.daemon,
            availabilityZone = self.availabilityZone,
            region = self.region,
            ready = sources.ready() && !sources.gate.draining,
            draining = sources.gate.draining,
            catalogueRevision = sources.catalogue.current()?.revision,
            storeReachable = sources.store.reachable,
            liveDaemons = sources.peers.live,
            entries = entries.map { entryStatus(it, groups) },
            findings = sources.controller.findings(),
        )
    }

    override fun groups(): GroupsAnswer = GroupsAnswer(sources.health.status())

    /**
     * Returns this daemon's own events and those stored with the divisions. The stored events remain available after
     * the daemons that recorded them have ended.
     */
    override fun timeline(query: TimelineQuery): TimelineAnswer {
        val kept =
            sources.divisions.current().values
                .flatMap { division -> division.events.map { it.toTimelineEvent() } }
                .filter(query::matches)
        val events = (sources.timeline.query(query) + kept).sortedBy { it.stamp }
        return TimelineAnswer(self.daemon, events.takeLast(query.limit))
    }

    override fun request(id: RequestId): RequestAnswer =
        RequestAnswer(id, sources.timeline.query(TimelineQuery(request = id)))

    override fun peers(): PeersAnswer = PeersAnswer(sources.peers.live)

    override fun catalogue(): CatalogueAnswer = CatalogueFormat.answer(sources.catalogue.current())

    override suspend fun history(): HistoryAnswer? = sources.writer.history().getOrNull()

    override suspend fun apply(request: ApplyRequest): ApplyAnswer = sources.writer.apply(request)

    private fun entryStatus(entry: Entry, groups: List<GroupStatus>): EntryStatus {
        val counts = sources.admission.counts(entry.name)
        return EntryStatus(
            entry = entry.name,
            wanted = (entry as? ModelEntry)?.replicas,
            whole = groups.count { it.group.entry == entry.name && it.whole },
            queued = counts.queued,
            inFlight = counts.inFlight,
        )
    }
}
