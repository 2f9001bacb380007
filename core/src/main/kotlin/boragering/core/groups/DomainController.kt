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

/** The external dependencies of [DomainController]. [stamp] issues timestamps of the hybrid logical clock. */
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

/** This daemon's view of the other daemons, the catalogue, the divisions and the health of groups. */
class ControllerState(
    val peers: Peers,
    val catalogue: CatalogueSource,
    val divisions: DivisionSource,
    val health: GroupHealth,
    val echoes: EchoTracker,
)

/**
 * Intervals and limits of the controller. A holder polls a group's members itself when its evidence is older than
 * [holderPollAfter]. In normal operation, evidence from summaries reaches an age of 1.8 s: [pollInterval] plus
 * [echoInterval] plus [maxPollWait].
 */
data class ControllerSettings(
    val pollInterval: Duration = 1.seconds,
    val pollTimeout: Duration = 900.milliseconds,
    val maxPollWait: Duration = 300.milliseconds,
    val maxConcurrentPolls: Int = DEFAULT_POLLS,
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
 * Polls and plans the domains whose planner is this daemon, and sends health summaries to the holders of their groups.
 * For groups that this daemon holds but does not plan, it polls the members when the planner's summaries do not arrive.
 */
class DomainController(
    private val ports: ControllerPorts,
    private val state: ControllerState,
    private val settings: ControllerSettings = ControllerSettings(),
) {
    private val clock = ports.clock
    private val tracker = InstanceTracker(clock)
    private val list = LiveListReader(ports.liveList, clock, ports.timeline)
    private val poller =
        InstancePoller(ports.targets, tracker, clock, settings.pollTimeout, settings.maxConcurrentPolls)
    private val planned = PlannedDomains(state)
    private val fleetViews = FleetViewCache(state, list)
    private val summaries = SummarySender(ports, state, tracker, settings)
    private val holder = HolderPoller(state, tracker, poller, settings)
    private val context =
        PlannerContext(ports, state.divisions, tracker, DivisionStore(ports.store, clock), settings.planning)
    private val planners = ConcurrentHashMap<FabricDomain, PlannerSlot>()

    /** The shortages and faults that the planners of this daemon's domains cannot repair, without duplicates. */
    fun findings(): List<HealthFinding> =
        planners.values.flatMap { it.planner.currentFindings }.distinctBy { FindingKey(it) }

    /** Polls, plans and sends echoes and summaries until the coroutine is cancelled. */
    suspend fun run(): Unit = coroutineScope {
        val workerScope = workerScope(coroutineContext)
        launch { repeatEvery(settings.listInterval) { refreshLiveList() } }
        launch { repeatEvery(settings.echoInterval) { summaries.sendEchoes() } }
        launch { repeatEvery(settings.holderInterval) { holder.poll(workerScope, planned.current(domains()), list) } }
        launch { repeatEvery(settings.pollInterval) { pollAndPlan(workerScope) } }
    }

    /** A supervised scope for polls and planning steps, so that a failure in one domain does not stop the others. */
    private fun workerScope(context: CoroutineContext): CoroutineScope {
        val recorded = CoroutineExceptionHandler { _, fault ->
            ports.timeline.record(TimelineEntry("planning-failed", fault.toString()))
        }
        return CoroutineScope(context + SupervisorJob(context.job) + recorded)
    }

    private suspend fun repeatEvery(interval: Duration, action: suspend () -> Unit) {
        while (true) {
            val began = clock.monotonic()
            action()
            delay((interval - (clock.monotonic() - began)).coerceAtLeast(MINIMUM_PAUSE))
        }
    }

    private suspend fun refreshLiveList() {
        list.refresh()
        val read = list.current ?: return
        state.health.heldGroups.all.forEach { held ->
            val leaving = held.group.members.any { read.leaving(it.instance) }
            if (leaving) state.health.reportLeaving(held.group.id, held.group.fence)
        }
    }

    private fun domains(): Set<FabricDomain> = list.current?.domains.orEmpty() + state.divisions.current().keys

    private var lastRound: Duration? = null

    private suspend fun pollAndPlan(scope: CoroutineScope) {
        val now = clock.monotonic()
        val paused = lastRound?.let { now - it > settings.pollInterval + PAUSE_LIMIT } ?: false
        if (paused) handlePause()
        lastRound = now
        val ownDomains = planned.current(domains())
        planners.keys.retainAll(ownDomains)
        poller.poll(scope, pollTargets(ownDomains), settings.maxPollWait)
        summaries.send(ownDomains, list.current)
        val view = fleetViews.current()
        if (view != null) ownDomains.forEach { planDomain(scope, it, view) }
        state.health.prune()
        tracker.prune()
        state.echoes.retain(state.peers.live.mapTo(HashSet()) { it.daemon })
    }

    private fun handlePause() {
        tracker.restartObservation()
        planners.clear()
        ports.timeline.record(TimelineEntry("paused", "this daemon was paused; observation of instances restarts"))
    }

    private fun pollTargets(ownDomains: Set<FabricDomain>): Collection<PollTarget> {
        val divisions = state.divisions.current()
        return ownDomains.flatMap { domain ->
            val members = divisions[domain]?.groups.orEmpty().flatMap { it.members }
                .map { PollTarget(it.instance, it.address) }
            val listed = list.current?.of(domain)?.values.orEmpty().map { PollTarget(it.id, it.address) }
            members + listed
        }.associateBy { it.instance }.values
    }

    /** Starts a planning step without waiting for it, so that a slow store delays neither polls nor summaries. */
    private fun planDomain(scope: CoroutineScope, domain: FabricDomain, view: FleetView) {
        val slot = planners.getOrPut(domain) { PlannerSlot(DomainPlanner(domain, context)) }
        if (!slot.stepMutex.tryLock()) return
        scope.launch { slot.planner.step(view) }.invokeOnCompletion { slot.stepMutex.unlock() }
    }

    private class PlannerSlot(val planner: DomainPlanner) {
        val stepMutex = Mutex()
    }

    private companion object {
        val MINIMUM_PAUSE = 10.milliseconds

        /** If a round starts later than scheduled by more than this, the process is taken to have been paused. */
        val PAUSE_LIMIT = 1.seconds
    }
}

/** Caches the domains that this daemon plans, and recomputes them only when the live daemons or the domains change. */
internal class PlannedDomains(private val state: ControllerState) {
    private var cacheKey: Pair<List<Registration>, Set<FabricDomain>>? = null
    private var result: Set<FabricDomain> = emptySet()

    /** Returns those of [domains] that this daemon plans. */
    @Synchronized
    fun current(domains: Set<FabricDomain>): Set<FabricDomain> {
        val present = state.peers.live to domains
        if (present != cacheKey) {
            cacheKey = present
            result = domains.filterTo(LinkedHashSet()) { state.peers.isPlannerFor(it) }
        }
        return result
    }
}

/** Caches the fleet view, and counts again only when the catalogue, the live list or the divisions change. */
internal class FleetViewCache(private val state: ControllerState, private val list: LiveListReader) {
    private var view: FleetView? = null
    private var divisions: PersistentMap<FabricDomain, Division>? = null

    /** Returns the present view, `null` until there is a catalogue and a live list. Called by one coroutine. */
    fun current(): FleetView? {
        val catalogue = state.catalogue.current()
        val read = list.current
        val known = state.divisions.current()
        val last = view
        view = when {
            catalogue == null || read == null -> null
            last != null && last.matches(catalogue, read) && divisions === known ->
                FleetView(catalogue, read, last.fleet, last.distribution)
            else -> buildView(catalogue, read, known)
        }
        divisions = known
        return view
    }

    private fun FleetView.matches(present: Catalogue, read: LiveListSnapshot): Boolean =
        catalogue === present && list.instances === read.instances

    private fun buildView(catalogue: Catalogue, read: LiveListSnapshot, known: Map<FabricDomain, Division>): FleetView {
        val fleet = FleetInventory.of(catalogue, read.instances.values, known)
        return FleetView(catalogue, read, fleet, ReplicaDistribution.of(catalogue, fleet))
    }
}
