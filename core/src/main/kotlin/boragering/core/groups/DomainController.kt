package boragering.core.groups

import boragering.core.Clock
import boragering.core.FabricDomain
import boragering.core.InstanceClient
import boragering.core.Store
import boragering.core.catalogue.Catalogue
import boragering.core.catalogue.CatalogueSource
import boragering.core.membership.Items
import boragering.core.membership.PeerLink
import boragering.core.membership.Peers
import boragering.core.membership.Registration
import boragering.core.membership.isPlannerFor
import boragering.core.timeline.HybridTime
import boragering.core.timeline.Timeline
import boragering.core.timeline.TimelineEntry
import kotlinx.collections.immutable.PersistentMap
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import java.util.concurrent.ConcurrentHashMap
import kotlin.coroutines.CoroutineContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the controller of domains uses. [stamp] issues stamps of the hybrid logical clock. */
data class ControllerPorts(
    val store: Store,
    val liveList: LiveList,
    val targets: InstanceClient,
    val items: Items,
    val link: PeerLink,
    val timeline: Timeline,
    val clock: Clock,
    val stamp: () -> HybridTime,
)

/** What this daemon knows of the other daemons, the catalogue, divisions and groups. */
class ControllerState(
    val peers: Peers,
    val catalogue: CatalogueSource,
    val divisions: DivisionSource,
    val health: GroupHealth,
    val echoes: EchoBook,
)

/**
 * Intervals and limits of the controller. A holder polls a group's members itself when its evidence is older than
 * [holderPollAfter]: evidence from summaries reaches 1.8 s in normal operation, which is one poll interval, plus the
 * time between echoes, plus [pollPatience].
 */
data class ControllerSettings(
    val pollInterval: Duration = 1.seconds,
    val pollTimeout: Duration = 900.milliseconds,
    val pollPatience: Duration = 300.milliseconds,
    val pollsAtOnce: Int = DEFAULT_POLLS,
    val listInterval: Duration = 1.seconds,
    val echoInterval: Duration = 500.milliseconds,
    val holderPollAfter: Duration = 1.9.seconds,
    val holderInterval: Duration = 250.milliseconds,
    val holdersPerGroup: Int = HealthSettings.DEFAULT_HOLDERS,
    val planning: PlanningSettings = PlanningSettings(),
) {
    private companion object {
        const val DEFAULT_POLLS = 128
    }
}

/**
 * Polls and plans the domains whose planner this daemon is, tells the holders of their groups what it found, and polls
 * the members of held groups itself when their planner's summaries are missing.
 */
class DomainController(
    private val ports: ControllerPorts,
    private val state: ControllerState,
    private val settings: ControllerSettings = ControllerSettings(),
) {
    private val clock = ports.clock
    private val book = ReportBook(clock)
    private val list = LiveListReader(ports.liveList, clock, ports.timeline)
    private val poller = InstancePoller(ports.targets, book, clock, settings.pollTimeout, settings.pollsAtOnce)
    private val planned = PlannedDomains(state)
    private val views = FleetViews(state, list)
    private val summaries = SummarySender(ports, state, book, settings)
    private val holder = HolderPolling(state, book, poller, settings)
    private val context =
        PlannerContext(ports, state.divisions, book, DivisionWriter(ports.store, clock), settings.planning)
    private val planners = ConcurrentHashMap<FabricDomain, PlannerSlot>()

    /** What the domains that this daemon plans cannot repair. */
    fun findings(): List<HealthFinding> =
        planners.values.flatMap { it.planner.currentFindings }.distinctBy { FindingKey(it) }

    /** Runs until it is cancelled. */
    suspend fun run(): Unit = coroutineScope {
        val workers = workers(coroutineContext)
        launch { every(settings.listInterval) { readList() } }
        launch { every(settings.echoInterval) { summaries.sendEchoes() } }
        launch { every(settings.holderInterval) { holder.poll(workers, planned.current(domains()), list) } }
        launch { every(settings.pollInterval) { round(workers) } }
    }

    /** Polls and planning steps run on their own, so that a fault in one domain does not stop the others. */
    private fun workers(context: CoroutineContext): CoroutineScope {
        val recorded = CoroutineExceptionHandler { _, fault ->
            ports.timeline.record(TimelineEntry("planning-failed", fault.toString()))
        }
        return CoroutineScope(context + SupervisorJob(context.job) + recorded)
    }

    private suspend fun every(interval: Duration, action: suspend () -> Unit) {
        while (true) {
            val began = clock.monotonic()
            action()
            delay((interval - (clock.monotonic() - began)).coerceAtLeast(MINIMUM_PAUSE))
        }
    }

    private suspend fun readList() {
        list.refresh()
        val read = list.current ?: return
        state.health.heldGroups.all.forEach { held ->
            val leaving = held.group.members.any { read.leaving(it.instance) }
            if (leaving) state.health.reportLeaving(held.group.id, held.group.fence)
        }
    }

    private fun domains(): Set<FabricDomain> = list.current?.domains.orEmpty() + state.divisions.current().keys

    private var lastRound: Duration? = null

    private suspend fun round(scope: CoroutineScope) {
        val now = clock.monotonic()
        val paused = lastRound?.let { now - it > settings.pollInterval + PAUSE_LIMIT } ?: false
        if (paused) resume()
        lastRound = now
        val mine = planned.current(domains())
        planners.keys.retainAll(mine)
        poller.poll(scope, pollTargets(mine), settings.pollPatience)
        summaries.send(mine, list.current)
        val view = views.current()
        if (view != null) mine.forEach { planDomain(scope, it, view) }
        state.health.prune()
        book.prune()
        state.echoes.retain(state.peers.live.mapTo(HashSet()) { it.daemon })
    }

    private fun resume() {
        book.resume()
        planners.clear()
        ports.timeline.record(TimelineEntry("paused", "this daemon did not run for a while; observation starts again"))
    }

    private fun pollTargets(mine: Set<FabricDomain>): Collection<PollTarget> {
        val divisions = state.divisions.current()
        return mine.flatMap { domain ->
            val members = divisions[domain]?.groups.orEmpty().flatMap { it.members }
                .map { PollTarget(it.instance, it.address) }
            val listed = list.current?.of(domain)?.values.orEmpty().map { PollTarget(it.id, it.address) }
            members + listed
        }.associateBy { it.instance }.values
    }

    /** Plans without waiting, so that a slow store delays neither polls nor summaries. */
    private fun planDomain(scope: CoroutineScope, domain: FabricDomain, view: FleetView) {
        val slot = planners.getOrPut(domain) { PlannerSlot(DomainPlanner(domain, context)) }
        if (!slot.busy.tryLock()) return
        scope.launch { slot.planner.step(view) }.invokeOnCompletion { slot.busy.unlock() }
    }

    private class PlannerSlot(val planner: DomainPlanner) {
        val busy = Mutex()
    }

    private companion object {
        val MINIMUM_PAUSE = 10.milliseconds

        /** A round that begins this much too late shows that the process was paused. */
        val PAUSE_LIMIT = 1.seconds
    }
}

/** The domains that this daemon plans; ranked again only when the daemons or domains change. */
internal class PlannedDomains(private val state: ControllerState) {
    private var basis: Pair<List<Registration>, Set<FabricDomain>>? = null
    private var result: Set<FabricDomain> = emptySet()

    /** Those of [domains] that this daemon plans. */
    @Synchronized
    fun current(domains: Set<FabricDomain>): Set<FabricDomain> {
        val present = state.peers.live to domains
        if (present != basis) {
            basis = present
            result = domains.filterTo(LinkedHashSet()) { state.peers.isPlannerFor(it) }
        }
        return result
    }
}

/** The counted fleet; counted again only when the catalogue, the list or the divisions change. */
internal class FleetViews(private val state: ControllerState, private val list: LiveListReader) {
    private var view: FleetView? = null
    private var divisions: PersistentMap<FabricDomain, Division>? = null

    /** The present view; `null` until there is a catalogue and a list. Called by one coroutine. */
    fun current(): FleetView? {
        val catalogue = state.catalogue.current()
        val read = list.current
        val known = state.divisions.current()
        val last = view
        view = when {
            catalogue == null || read == null -> null
            last != null && last.isOf(catalogue, read) && divisions === known ->
                FleetView(catalogue, read, last.fleet, last.distribution)
            else -> count(catalogue, read, known)
        }
        divisions = known
        return view
    }

    private fun FleetView.isOf(present: Catalogue, read: InstanceList): Boolean =
        catalogue === present && list.instances === read.instances

    private fun count(catalogue: Catalogue, read: InstanceList, known: Map<FabricDomain, Division>): FleetView {
        val fleet = Fleet.of(catalogue, read.instances.values, known)
        return FleetView(catalogue, read, fleet, Distribution.of(catalogue, fleet))
    }
}
