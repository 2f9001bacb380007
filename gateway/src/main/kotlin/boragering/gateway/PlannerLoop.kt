package boragering.gateway

import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.Store
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
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What a planner works on. Read on the event loop.
 *
 * @property list the instances; `null` while the list is not known to be up to date.
 * @property planner who holds the planner's lock, as far as it is known.
 */
interface PlannerView {
    val configuration: Configuration?
    val list: InstanceList?
    val planner: String?

    /** Whether no other gateway serves the callers of this one's availability zone. */
    val alone: Boolean

    /** Whether the store answers no gateway. */
    val storeIsDown: Boolean

    /** Takes what the planner saw of instances itself, and passes it on to other gateways. */
    fun observed(instances: List<Instance>)

    /** Heads of groups that seem to have failed; each call returns those that came since the last one. */
    fun takeSuspicions(): Set<InstanceStart>
}

/** What a [PlannerLoop] uses. */
class PlannerPorts(
    val store: Store,
    val orders: OrderPort,
    val loop: GatewayLoop,
    val clock: Clock,
    val log: DecisionLog,
    val random: Random,
)

/**
 * Competes for the planner's lock and plans while this gateway holds it. Runs on the event loop.
 */
class PlannerLoop(private val self: DaemonId, private val ports: PlannerPorts, private val view: PlannerView) {
    private val lock = PlannerLock(ports.store, self, ports.clock) { view.storeIsDown }
    private var stopping = false

    /** Whether this gateway plans. */
    val planning: Boolean get() = lock.held

    /** Whether the lock can be had; a store that is down can give it to nobody. */
    private val vacant: Boolean get() = view.planner == null && !stopping && !view.storeIsDown

    /** Whether this gateway is the planner, or may be. */
    val leading: Boolean get() = lock.fence != null

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            if (vacant && view.configuration != null && view.list != null) {
                delay(COMPETITION_SPREAD * ports.random.nextDouble())
                if (view.alone) delay(COMPETITION_HANDICAP)
                if (vacant && lock.acquire()) plan()
            }
            delay(IDLE_INTERVAL)
        }
    }

    /** Gives the lock up, so that another gateway plans. */
    suspend fun stop() {
        stopping = true
        lock.release()
    }

    private suspend fun plan() = coroutineScope {
        val fence = lock.fence ?: return@coroutineScope
        ports.log.state("planner-started", "fence" to fence)
        val term = PlannerTerm(fence, ports, view) { lock.held }
        val renewal = launch {
            while (lock.fence == fence) {
                lock.renew()
                delay(RENEWAL_CHECK)
            }
        }
        var listed = false
        while (lock.fence == fence && !term.superseded) {
            listed = listed || view.planner == self.value
            // Another holder, or none: the lease has ended, as others have learned from the store.
            if (listed && view.planner != self.value) lock.drop()
            val configuration = view.configuration
            val list = view.list
            if (lock.held && configuration != null && list != null) {
                term.step(
                    configuration,
                    list,
                    view.takeSuspicions(),
                    this
                )
            }
            delay(STEP_INTERVAL)
        }
        renewal.cancel()
        if (lock.fence == fence) lock.release()
        ports.log.state("planner-stopped", "fence" to fence, "superseded" to term.superseded)
    }

    /** Constants of the planner. */
    companion object {
        /** Key of the document that names the planner. */
        const val LOCK_KEY = PlannerLock.KEY

        private val IDLE_INTERVAL = 200.milliseconds
        private val STEP_INTERVAL = 100.milliseconds
        private val RENEWAL_CHECK = 200.milliseconds

        /** Gateways that see the lock free do not all try at the same moment. */
        private val COMPETITION_SPREAD = 200.milliseconds

        /** The planner's work weighs on a gateway; one that is alone in its availability zone takes it last. */
        private val COMPETITION_HANDICAP = 600.milliseconds
    }
}

/** The planning of one gateway from the time it takes the lock until it loses it. */
private class PlannerTerm(
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
            suspicions.mapNotNull { planner.servedBy(it) }.flatten().forEach { scope.launch { probe(it) } }
            val step = planner.step(PoolState(engine, list.of(service.name), unreachable.keys), now)
            carryOut(planner, step, scope)
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
        step.notes.forEach { ports.log.state(it.decision, "group" to it.group, "reason" to it.reason) }
        step.orders.forEach { addressed -> scope.launch { order(planner, addressed) } }
    }

    private suspend fun order(planner: GroupPlanner, addressed: AddressedOrder) {
        if (!held()) {
            planner.answered(addressed, OrderOutcome.NotSent("the planner's lock is not held"))
            return
        }
        val outcome = dispatcher.send(addressed)
        if (outcome == OrderOutcome.Superseded) superseded = true
        planner.answered(addressed, outcome)
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
