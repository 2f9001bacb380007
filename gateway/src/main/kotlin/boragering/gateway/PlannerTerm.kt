package boragering.gateway

import boragering.fleet.AddressedOrder
import boragering.fleet.Configuration
import boragering.fleet.GroupPlanner
import boragering.fleet.Instance
import boragering.fleet.InstanceList
import boragering.fleet.InstanceStart
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
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The planning of one gateway from the time it takes the lock until it loses it. */
internal class PlannerTerm(
    private val fence: Long,
    private val ports: PlannerPorts,
    private val view: PlannerView,
    private val held: () -> Boolean,
) {
    private val planners = HashMap<ServiceName, GroupPlanner>()
    private val dispatcher = OrderDispatcher(ports.orders, fence, ports.log)
    private var observedAt = Duration.ZERO
    private val probing = HashSet<InstanceStart>()
    private val unreachable = HashMap<InstanceStart, Duration>()

    /** Whether an instance has seen a newer planner. */
    var superseded = false
        private set

    fun step(configuration: Configuration, list: InstanceList, suspicions: Set<InstanceStart>, scope: CoroutineScope) {
        val now = ports.loop.now()
        // Without the store, the list goes on to show instances that have ended.
        if (!view.storeIsDown) unreachable.values.removeIf { it <= now }
        configuration.services.values.forEach { service ->
            val engine = service.engine?.takeIf { it.models.isNotEmpty() } ?: return@forEach
            val planner = planners.getOrPut(service.name) { GroupPlanner(fence) }
            val step = planner.step(PoolState(engine, list.of(service.name), unreachable.keys), now)
            carryOut(planner, step, scope)
            // After the step: a planner that has just begun knows the serving groups only from then on.
            suspicions.mapNotNull { planner.servedBy(it) }.flatten().forEach { scope.launch { probe(it) } }
            if (view.storeIsDown && now - observedAt >= OBSERVATION_INTERVAL) {
                observedAt = now
                scope.launch { observe(planner.unsettled) }
            }
        }
    }

    /** Asks [instances] themselves, since the list does not tell of changes. */
    private suspend fun observe(instances: List<Instance>) {
        val reports = instances.filter { it.start !in unreachable }.map { ports.orders.report(it).getOrNull() }
        val seen = reports.mapNotNull { report -> report?.instance?.takeIf { it.start == report.start } }
        if (seen.isNotEmpty()) view.observed(seen)
    }

    private fun carryOut(planner: GroupPlanner, step: PlanningStep, scope: CoroutineScope) {
        step.decisions.forEach { ports.log.state(it.decision, "group" to it.group, "reason" to it.reason) }
        step.orders.forEach { addressed -> scope.launch { order(planner, addressed) } }
    }

    private suspend fun order(planner: GroupPlanner, addressed: AddressedOrder) {
        if (!held()) {
            planner.recordOutcome(addressed, OrderOutcome.NotSent("the planner's lock is not held"))
            return
        }
        val outcome = dispatcher.send(addressed)
        if (outcome == OrderOutcome.Superseded) superseded = true
        planner.recordOutcome(addressed, outcome)
        if (view.storeIsDown && outcome == OrderOutcome.Accepted) observe(listOf(addressed.instance))
    }

    /** Finds out whether a member of a group that seems to have failed answers. */
    private suspend fun probe(member: Instance) {
        if (!probing.add(member.start)) return
        if (!answers(member)) {
            unreachable[member.start] = ports.loop.now() + UNREACHABLE_TIME
            ports.log.state("instance-unreachable", "instance" to member.start)
        }
        delay(PROBE_INTERVAL)
        probing.remove(member.start)
    }

    /** Whether [member] answers a probe, or the second one, which does not wait for the end of the first. */
    private suspend fun answers(member: Instance): Boolean = coroutineScope {
        val first = async { ports.orders.report(member).isRight() }
        val prompt = withTimeoutOrNull(PROBE_SPACING) { first.await() }
        prompt == true || ports.orders.report(member).isRight() || first.await()
    }

    private companion object {
        /** Time after which a probe without an answer is followed by another one. */
        val PROBE_SPACING = 150.milliseconds

        /** Time after which an instance that did not answer is tried again, if it is still listed. */
        val UNREACHABLE_TIME = 6.seconds

        /** Time between questions to the members of unsettled groups while the store does not answer. */
        val OBSERVATION_INTERVAL = 500.milliseconds
        val PROBE_INTERVAL = 300.milliseconds
    }
}
