package boragering.gateway

import boragering.fleet.AddressedOrder
import boragering.fleet.Configuration
import boragering.fleet.EngineProfile
import boragering.fleet.GroupPlanner
import boragering.fleet.Instance
import boragering.fleet.InstanceList
import boragering.fleet.InstanceStart
import boragering.fleet.ModelName
import boragering.fleet.OrderOutcome
import boragering.fleet.PlanningStep
import boragering.fleet.PoolState
import boragering.fleet.ServiceName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The work of one planner from the time at which it acquires the lock until it loses it. */
internal class PlannerTerm(
    private val fence: Long,
    private val ports: PlannerPorts,
    private val view: PlannerView,
    private val lockHeld: () -> Boolean,
) {
    private val planners = HashMap<ServiceName, GroupPlanner>()
    private val dispatcher = OrderDispatcher(ports.orders, fence, ports.log)
    private var lastObservedAt = Duration.ZERO
    private val membersBeingProbed = HashSet<InstanceStart>()
    private val unreachable = HashMap<InstanceStart, Duration>()
    private val loggedShares = HashMap<ServiceName, Map<ModelName, Int>>()

    /** Whether an instance has refused an order because it knows a newer planner. */
    var superseded = false
        private set

    fun step(configuration: Configuration, list: InstanceList, suspicions: Set<InstanceStart>, scope: CoroutineScope) {
        val now = ports.loop.now()
        // During an outage of the store, the list still contains instances that have ended.
        if (!view.storeIsDown) unreachable.values.removeIf { it <= now }
        configuration.services.values.forEach { service ->
            val engine = service.engine?.takeIf { it.models.isNotEmpty() } ?: return@forEach
            val planner = planners.getOrPut(service.name) { GroupPlanner(fence) }
            val needed = view.engineForDemand(service.name, engine)
            logShares(service.name, needed)
            val pool = PoolState(
                needed,
                list.of(service.name),
                unreachable.keys,
                view.evacuatedZones,
                view.demandKnown(service.name),
                view.shortages(service.name),
            )
            val step = planner.step(pool, now)
            sendOrders(planner, step, scope)
            // Suspicions are handled after the step, because a new planner does not know the serving groups before it.
            val suspected = suspicions.mapNotNull { planner.servedBy(it) }.flatten()
            suspected.filter(::mayBeCalled).forEach { scope.launch { probe(it) } }
            if (view.storeIsDown && now - lastObservedAt >= OBSERVATION_INTERVAL) {
                lastObservedAt = now
                scope.launch { queryInstances(planner.unsettled) }
            }
        }
    }

    /** Records that the shares by which groups are formed have changed by a tenth or more. */
    private fun logShares(service: ServiceName, engine: EngineProfile) {
        val shares = engine.models.mapValues { (it.value.share * SHARE_STEPS).roundToInt() }
        if (loggedShares.put(service, shares) == shares) return
        ports.log.event("model-shares", "service" to service, "tenths" to shares)
    }

    /** Requests reports from [instances], because the list does not change during an outage of the store. */
    private suspend fun queryInstances(instances: List<Instance>) {
        val asked = instances.filter { it.start !in unreachable && mayBeCalled(it) }
        val reports = asked.map { ports.orders.report(it).getOrNull() }
        val seen = reports.mapNotNull { report -> report?.instance?.takeIf { it.start == report.start } }
        if (seen.isNotEmpty()) view.onObserved(seen)
    }

    private fun mayBeCalled(instance: Instance): Boolean = instance.availabilityZone !in view.evacuatedZones

    private fun sendOrders(planner: GroupPlanner, step: PlanningStep, scope: CoroutineScope) {
        step.decisions.forEach { ports.log.event(it.decision, "group" to it.group, "reason" to it.reason) }
        step.orders.forEach { addressed -> scope.launch { sendOrder(planner, addressed) } }
    }

    private suspend fun sendOrder(planner: GroupPlanner, addressed: AddressedOrder) {
        val obstacle = when {
            !lockHeld() -> "the planner's lock is not held"
            !mayBeCalled(addressed.instance) -> "the availability zone is evacuated"
            else -> null
        }
        if (obstacle != null) return planner.recordOutcome(addressed, OrderOutcome.NotSent(obstacle))
        val outcome = dispatcher.send(addressed)
        if (outcome == OrderOutcome.Superseded) superseded = true
        planner.recordOutcome(addressed, outcome)
        if (view.storeIsDown && outcome == OrderOutcome.Accepted) queryInstances(listOf(addressed.instance))
    }

    /** Probes a member of a suspected group, and records it as unreachable if it does not answer. */
    private suspend fun probe(member: Instance) {
        if (!membersBeingProbed.add(member.start)) return
        if (!isResponsive(member)) {
            unreachable[member.start] = ports.loop.now() + UNREACHABLE_TIME
            ports.log.event("instance-unreachable", "instance" to member.start)
        }
        delay(PROBE_INTERVAL)
        membersBeingProbed.remove(member.start)
    }

    /** Whether [member] answers one of two probes; the second one is sent before the first one times out. */
    private suspend fun isResponsive(member: Instance): Boolean = coroutineScope {
        val first = async { ports.orders.report(member).isRight() }
        val answeredEarly = withTimeoutOrNull(PROBE_SPACING) { first.await() }
        answeredEarly == true || ports.orders.report(member).isRight() || first.await()
    }

    private companion object {
        const val SHARE_STEPS = 10

        /** Time without an answer after which the second probe is sent. */
        val PROBE_SPACING = 150.milliseconds

        /** Time after which an instance that did not answer is tried again, if it is still listed. */
        val UNREACHABLE_TIME = 6.seconds

        /** Interval between requests for reports from the members of unsettled groups while the store is down. */
        val OBSERVATION_INTERVAL = 500.milliseconds
        val PROBE_INTERVAL = 300.milliseconds
    }
}
