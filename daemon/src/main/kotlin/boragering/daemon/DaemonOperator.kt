package boragering.daemon

import boragering.core.Admission
import boragering.core.ApplyAnswer
import boragering.core.ApplyRequest
import boragering.core.CatalogueAnswer
import boragering.core.CatalogueSource
import boragering.core.CatalogueText
import boragering.core.CatalogueWriter
import boragering.core.DivisionSource
import boragering.core.DomainController
import boragering.core.Entry
import boragering.core.EntryStatus
import boragering.core.GroupHealth
import boragering.core.GroupStatus
import boragering.core.GroupsAnswer
import boragering.core.HistoryAnswer
import boragering.core.ModelEntry
import boragering.core.Peers
import boragering.core.PeersAnswer
import boragering.core.RequestAnswer
import boragering.core.RequestId
import boragering.core.StatusAnswer
import boragering.core.TimelineAnswer
import boragering.core.TimelineBuffer
import boragering.core.TimelineQuery
import boragering.core.toTimelineEvent

/** The parts of the daemon that operators ask about. */
internal data class OperatorSources(
    val peers: Peers,
    val catalogue: CatalogueSource,
    val divisions: DivisionSource,
    val health: GroupHealth,
    val controller: DomainController,
    val admission: Admission,
    val timeline: TimelineBuffer,
    val writer: CatalogueWriter,
    val store: ObservedStore,
    val gate: RequestGate,
    val ready: () -> Boolean,
)

/** Answers operators from the daemon's own state. */
internal class DaemonOperator(private val sources: OperatorSources) : OperatorService {
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

    /** The daemon's own events and those that are kept with the divisions, which outlive the daemons. */
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

    override fun catalogue(): CatalogueAnswer = CatalogueText.answer(sources.catalogue.current())

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
