package boragering.core.groups

import arrow.core.Either
import arrow.core.right
import boragering.core.Clock
import boragering.core.EntryName
import boragering.core.FabricDomain
import boragering.core.GroupId
import boragering.core.InstanceId
import boragering.core.StoreFailure
import boragering.core.catalogue.Catalogue
import boragering.core.timeline.TimelineEntry
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** The planning inputs that all domains planned by this daemon in one round share. */
internal class FleetView(
    val catalogue: Catalogue,
    val list: LiveListSnapshot,
    val fleet: FleetInventory,
    val distribution: ReplicaDistribution,
)

/** The dependencies that all planners of this daemon share. */
internal class PlannerContext(
    val ports: ControllerPorts,
    val divisions: DivisionSource,
    val tracker: InstanceTracker,
    val divisionStore: DivisionStore,
    val settings: PlanningSettings,
) {
    val clock: Clock get() = ports.clock
}

/**
 * Plans one domain, writes the planned divisions to the store and sends the orders. Calls of [step] must not overlap.
 * While the store is unavailable, the division does not change and no orders are sent.
 */
internal class DomainPlanner(private val domain: FabricDomain, private val context: PlannerContext) {
    private val clock = context.clock
    private val timeline = context.ports.timeline
    private val orders = OrderSender(context.ports.targets, clock, timeline)
    private val findings = FindingTracker()
    private val draining = PresenceTracker<GroupId>()
    private val surplus = PresenceTracker<EntryName>()
    private val recentLoadFailures = PresenceTracker<InstanceId>()
    private var stored: StoredDivision? = null
    private var retryAt = Duration.ZERO
    private var storeFailing = false

    /** The shortages and faults that this planner cannot repair. */
    val currentFindings: PersistentList<HealthFinding> get() = findings.current

    /** Plans once, writes the next division if there is one, and sends the orders that are due. */
    suspend fun step(view: FleetView) {
        val present = if (clock.monotonic() < retryAt) null else present()
        if (present != null) planFrom(present, view)
    }

    private suspend fun planFrom(present: StoredDivision, view: FleetView) {
        val now = clock.monotonic()
        val reportingDomain = view.list.domains.minByOrNull { it.value }
        val isReportedHere = { key: FindingKey -> key.domain != null || domain == reportingDomain }
        val plan = plan(input(present.division, view, findings.pendingEvents(now, isReportedHere)))
        findings.update(plan.findings, now)
        val storedDivision = if (plan.next == null) present else write(present, plan, plan.next)
        if (storedDivision == null) return
        if (plan.next != null) findings.markReported()
        sendOrders(plan.orders, storedDivision)
    }

    private suspend fun present(): StoredDivision? {
        val known = stored
        val replica = context.divisions.current()[domain]
        val outdated = known == null || (replica != null && replica.version > known.division.version)
        val result = when {
            known == null || outdated -> context.divisionStore.read(domain)
            clock.monotonic() - known.readAt > CONFIRM_INTERVAL -> context.divisionStore.confirm(known)
            else -> known.right()
        }
        return adopt(result)
    }

    private fun adopt(result: Either<StoreFailure, StoredDivision>): StoredDivision? =
        result.fold({ failure ->
            storeFailed(failure.reason)
            null
        }, ::adopt)

    /**
     * Adopts [found] with the highest known version, so that a store restored from an old copy does not lower fencing
     * numbers.
     */
    private fun adopt(found: StoredDivision): StoredDivision {
        storeFailing = false
        val known = context.divisions.current()[domain]?.version ?: 0
        val division = found.division
        if (division.version > known) context.ports.items.accept(DivisionDocument.item(division))
        return found.copy(division = division.copy(version = maxOf(division.version, known))).also { stored = it }
    }

    private fun storeFailed(reason: String) {
        if (!storeFailing) timeline.record(TimelineEntry("division-store", "domain $domain: $reason"))
        storeFailing = true
        retryAt = clock.monotonic() + RETRY_PAUSE
    }

    private fun input(division: Division, view: FleetView, pendingEvents: PersistentList<PendingEvent>): PlanningInput {
        val now = clock.monotonic()
        val listed = view.list.of(domain)
        val groupOf = division.groups.flatMap { group -> group.members.map { it.instance to group } }.toMap()
        val observations = (listed.keys + groupOf.keys).associateWith {
            context.tracker.observe(it, groupOf[it], domain, view.list)
        }
        draining.update(division.groups.filter { it.phase is GroupPhase.Draining }.map { it.id }, now)
        surplus.update(view.catalogue.entries.keys.filter { view.distribution.surplus(it, domain) > 0 }, now)
        recentLoadFailures.forget(now - LOAD_FAILURE_EXCLUSION)
        return PlanningInput(
            catalogue = view.catalogue,
            division = division,
            listed = listed,
            fleet = view.fleet,
            distribution = view.distribution,
            observations = persistentMapOf<InstanceId, InstanceObservation>().putAll(observations),
            drainingFor = draining.durations(now).toPersistentMap(),
            surplusFor = surplus.durations(now).toPersistentMap(),
            recentLoadFailures = recentLoadFailures.durations(now).keys.toPersistentSet(),
            refused = orders.refused.toPersistentMap(),
            pendingEvents = pendingEvents,
            stamp = context.ports.stamp(),
            settings = context.settings,
        )
    }

    /** Writes [next]. Returns the stored division if the write succeeded, otherwise `null`. */
    private suspend fun write(present: StoredDivision, plan: Plan, next: Division): StoredDivision? {
        val result = context.divisionStore.write(present, next)
        when (result) {
            is WriteResult.Written -> written(result.stored, plan)
            is WriteResult.Conflict -> adopt(result.stored)
            is WriteResult.Unknown -> {
                stored = null
                storeFailed(result.reason)
            }
        }
        return (result as? WriteResult.Written)?.stored
    }

    private fun written(result: StoredDivision, plan: Plan) {
        stored = result
        val now = clock.monotonic()
        context.ports.items.accept(DivisionDocument.item(result.division))
        plan.failedLoads.forEach { recentLoadFailures.start(it, now) }
        // The events are stored with the division, and the time line shows them from there.
        val text = "domain $domain: version ${result.division.version} with ${plan.events.size} new events"
        timeline.record(TimelineEntry("division-written", text))
    }

    private suspend fun sendOrders(planned: List<InstanceOrder>, storedDivision: StoredDivision) {
        val due = orders.due(planned)
        if (due.isEmpty()) return
        val old = clock.monotonic() - storedDivision.readAt > CONFIRM_BEFORE_ORDERS
        val confirmed = if (old) adopt(context.divisionStore.confirm(storedDivision)) else storedDivision
        // If the division was replaced in the meantime, the next step plans the orders anew.
        if (confirmed?.division?.version == storedDivision.division.version) orders.send(due, confirmed.readAt)
    }

    private companion object {
        val CONFIRM_INTERVAL = 10.seconds
        val CONFIRM_BEFORE_ORDERS = 500.milliseconds
        val RETRY_PAUSE = 2.seconds
        val LOAD_FAILURE_EXCLUSION = 10.minutes
    }
}

/** Tracks how long each key has been present. Used by one coroutine. */
internal class PresenceTracker<K : Any> {
    private val since = HashMap<K, Duration>()

    /** Removes the keys that are not in [present] and adds new ones at [now]; other keys keep their time. */
    fun update(present: Collection<K>, now: Duration) {
        since.keys.retainAll(present.toSet())
        present.forEach { start(it, now) }
    }

    /** Adds [key] at [now] unless it is already tracked. */
    fun start(key: K, now: Duration) {
        since.putIfAbsent(key, now)
    }

    /** Removes the keys that were added before [limit]. */
    fun forget(limit: Duration) {
        since.values.removeIf { it < limit }
    }

    /** Returns how long each key has been present at [now]. */
    fun durations(now: Duration): Map<K, Duration> = since.mapValues { now - it.value }
}
