package boragering.fleet

import boragering.core.AvailabilityZone
import boragering.core.FabricDomain
import boragering.core.InstanceId
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The models of the test pool: one with groups of four and two thirds of the work, and one with groups of two. */
internal object TestModels {
    val large = ModelProfile(
        ModelName("large"),
        groupSize = 4,
        share = 0.67,
        loadTime = 16.seconds,
        warmupTime = 1.6.seconds
    )
    val small = ModelProfile(
        ModelName("small"),
        groupSize = 2,
        share = 0.33,
        loadTime = 12.seconds,
        warmupTime = 1.1.seconds
    )
    val engine = EngineProfile(
        slots = 18,
        models = persistentMapOf(large.name to large, small.name to small),
        loadsPerSecond = 4.0,
        loadsAtOnce = 6,
        formationTime = 300.milliseconds,
    )
    val service = ServiceName("text")
}

/** Simulates an engine instance without a network, according to the documented behaviour of the engines. */
internal class FakeInstance(
    val id: InstanceId,
    val domain: FabricDomain,
    val startedAt: Long,
    private var staged: ModelName? = null,
    val zone: AvailabilityZone = AvailabilityZone("z"),
) {
    /** A load of [model] from the weight store; [left] is the time that it still needs at full speed. */
    private class Load(val model: ModelName, var left: Duration)

    private var readyAt: Duration? = null
    private var openAt: Duration? = null
    private var closedAt: Duration? = null
    private var load: Load? = null
    private var highestEpoch = 0L
    private var group: Order.Join? = null
    private var state: MemberState? = null
    private var loaded: ModelName? = null
    var alive = true
    var leaving = false

    /** Until when the instance, though running, receives no orders and cannot list itself. */
    var unreachableUntil = Duration.ZERO
    var orders = 0L
        private set

    val membership: GroupMembership?
        get() = group?.let { GroupMembership(it.group, it.members.indexOf(id), checkNotNull(state)) }

    /** Whether the instance loads weights from the weight store. */
    val loading: Boolean get() = alive && load != null

    /** Whether the instance accepts or finishes requests as the head of a group. */
    val serving: Boolean get() = alive && (state == MemberState.OPEN || state == MemberState.CLOSING)

    /** Advances to [now]. A load advances by [loadProgress]. */
    fun advance(now: Duration, loadProgress: Duration) {
        advanceLoad(now, loadProgress)
        if (readyAt.let { it != null && it <= now }) {
            readyAt = null
            loaded = group?.model
            state = MemberState.READY
        }
        if (openAt.let { it != null && it <= now }) {
            openAt = null
            if (state == MemberState.READY) state = MemberState.OPEN
        }
        if (closedAt.let { it != null && it <= now }) {
            closedAt = null
            if (state == MemberState.CLOSING) state = MemberState.READY
        }
    }

    private fun advanceLoad(now: Duration, progress: Duration) {
        val current = load ?: return
        current.left -= progress
        if (current.left > Duration.ZERO) return
        load = null
        staged = current.model
        if (state == MemberState.JOINING && readyAt == null && group?.model == current.model) readyAt = now
    }

    /** Executes [order] at [now]. [runningTime] is the time that running requests take if the head is closed. */
    fun carryOut(
        order: Order,
        now: Duration,
        profiles: Map<ModelName, ModelProfile>,
        runningTime: Duration,
    ): OrderOutcome = when (order) {
        is Order.Join -> join(order, now, profiles.getValue(order.model))
        is Order.Open -> onGroup(order.group) {
            if (state == MemberState.READY) openAt = now + 300.milliseconds
            if (state == MemberState.JOINING) OrderOutcome.Refused("not ready") else OrderOutcome.Accepted
        }
        is Order.Close -> onGroup(order.group) { OrderOutcome.Accepted.also { close(now, runningTime) } }
        is Order.Leave -> onGroup(order.group) {
            OrderOutcome.Accepted.also {
                group = null
                state = null
                readyAt = null
                openAt = null
                closedAt = null
            }
        }
        is Order.Stage -> {
            orders += 1
            load = Load(order.model, profiles.getValue(order.model).loadTime)
            OrderOutcome.Accepted
        }
    }

    private fun close(now: Duration, runningTime: Duration) {
        if (state == MemberState.CLOSING) return
        val running = state == MemberState.OPEN && runningTime > Duration.ZERO
        state = if (running) MemberState.CLOSING else MemberState.READY
        closedAt = if (running) now + runningTime else null
    }

    private fun join(order: Order.Join, now: Duration, model: ModelProfile): OrderOutcome {
        if (order.group.epoch < highestEpoch) return OrderOutcome.Superseded
        orders += 1
        highestEpoch = order.group.epoch
        group = order
        state = MemberState.JOINING
        openAt = null
        closedAt = null
        readyAt = when (order.model) {
            loaded -> now + 200.milliseconds
            staged -> now + model.warmupTime
            else -> null
        }
        if (readyAt == null && load?.model != order.model) load = Load(order.model, model.loadTime)
        return OrderOutcome.Accepted
    }

    private fun onGroup(named: GroupEpoch, action: () -> OrderOutcome): OrderOutcome =
        if (group?.group == named) action() else OrderOutcome.Refused("not a member")

    fun listed(): Instance = Instance(
        start = InstanceStart(id, startedAt),
        service = TestModels.service,
        address = Address(id.value, 1),
        availabilityZone = zone,
        state = if (leaving) InstanceState.LEAVING else InstanceState.SERVING,
        domain = domain,
        // The list shows no model for an instance without a group, although it still has the last one loaded.
        loaded = loaded?.takeIf { group != null }?.let { persistentSetOf(it) } ?: persistentSetOf(),
        staged = staged?.let { persistentSetOf(it) } ?: persistentSetOf(),
        membership = membership,
    )
}

/**
 * Simulates a pool of engine instances in virtual time. Its list lags, and orders may get no answer and be executed
 * late. The pool records each violation of two invariants: no instance joins a group while the head of its former group
 * serves, and each target consists of members that have all been ready.
 */
internal class FakePool(
    private val random: Random,
    domains: Int = 3,
    perDomain: Int = 8,
    private val engine: EngineProfile = TestModels.engine,
) {
    private class DelayedOrder(val instance: FakeInstance, val order: Order, val expected: Long, val at: Duration)

    private val delayed = ArrayList<DelayedOrder>()
    private val everReady = HashSet<Pair<GroupEpoch, InstanceId>>()
    private val lists = ArrayDeque<Pair<Duration, List<Instance>>>()
    private val diedAt = HashMap<InstanceId, Duration>()
    private var started = 0L
    private var planner = GroupPlanner(fence = 1)
    private var fence = 1L

    val instances = ArrayList<FakeInstance>()
    val violations = ArrayList<String>()
    var now = Duration.ZERO
        private set

    /** The profile by which the planner forms groups. */
    var plannedEngine = engine

    /** The models whose callers are rejected, with the number of groups that the demand fills. */
    var shortages = emptyMap<ModelName, Double>()

    /** The evacuated availability zones; each order to an instance in one of them is a violation. */
    var evacuated = emptySet<AvailabilityZone>()

    /** Whether the planner runs. */
    var plannerRunning = true

    /** Speed of the weight store; 1 while callers are served. */
    var loadSpeed = 1.0

    /** Whether more than the engine's number of concurrent loads slow each other down. */
    var loadsSlowEachOther = false

    /** Time that the running requests of a group within one domain take; those of a slower group take longer. */
    var runningTime = Duration.ZERO

    /** Fraction of the orders that get no answer and are executed late. */
    var delayedOrderFraction = 0.0

    init {
        repeat(domains) { domain -> repeat(perDomain) { add(FabricDomain("d$domain")) } }
    }

    /** Adds an instance, in the availability zone of the same name as the [domain] unless told otherwise. */
    fun add(
        domain: FabricDomain,
        staged: ModelName? = null,
        zone: AvailabilityZone = AvailabilityZone(domain.value),
    ) {
        started += 1
        instances += FakeInstance(InstanceId("i$started"), domain, started, staged, zone)
    }

    /** Replaces the planner by one with a higher fence, which has none of the former planner's state. */
    fun replacePlanner() {
        fence += 1
        planner = GroupPlanner(fence)
    }

    /** Disconnects an instance from the list and from the planner for [time]. The instance continues to run. */
    fun isolate(instance: FakeInstance, time: Duration) {
        instance.unreachableUntil = now + time
        diedAt[instance.id] = now
    }

    fun kill(instance: FakeInstance) {
        instance.alive = false
        diedAt[instance.id] = now
    }

    /** Number of targets, that is, listed whole groups with an open head, for each model. */
    fun targets(): Map<ModelName?, Int> = table().all.groupingBy { it.model }.eachCount()

    /** Number of targets for each model; a group across domains counts in proportion to its pace. */
    fun capacity(): Map<ModelName?, Double> =
        table().all.groupBy { it.model }.mapValues { (_, targets) -> targets.sumOf { 1 / it.slowdown } }

    fun run(time: Duration) {
        val end = now + time
        while (now < end) step()
    }

    private fun step() {
        now += STEP
        delayed.filter { it.at <= now }.forEach { if (it.instance.orders == it.expected) apply(it.instance, it.order) }
        delayed.removeAll { it.at <= now }
        val loads = instances.count { it.loading }
        val concurrencyFactor = if (loadsSlowEachOther) engine.loadsAtOnce / loads.coerceAtLeast(1).toDouble() else 1.0
        val loadProgress = STEP * loadSpeed * minOf(1.0, concurrencyFactor)
        instances.filter { it.alive }.forEach { instance ->
            instance.advance(now, loadProgress)
            val membership = instance.membership
            val ready = membership != null && membership.state != MemberState.JOINING
            if (ready) everReady += checkNotNull(membership).group to instance.id
        }
        lists.addLast(now to instances.filter(::listed).map { it.listed() })
        while (lists.size > 1 && lists[1].first <= now - LIST_LAG) lists.removeFirst()
        checkTargets()
        if (plannerRunning) plan()
    }

    private fun listed(instance: FakeInstance): Boolean =
        (instance.alive && instance.unreachableUntil <= now) || now - diedAt.getValue(instance.id) < LISTED_AFTER_DEATH

    private fun plan() {
        val state = PoolState(plannedEngine, lists.first().second, evacuated = evacuated, shortages = shortages)
        val step = planner.step(state, now)
        step.orders.forEach { planner.recordOutcome(it, send(it)) }
    }

    private fun send(addressed: AddressedOrder): OrderOutcome {
        val instance = instances.first { it.id == addressed.instance.id }
        if (instance.zone in evacuated) violations += "$now: ${addressed.order} to ${instance.id} in ${instance.zone}"
        return when {
            !instance.alive || instance.unreachableUntil > now -> OrderOutcome.NotSent("no answer")
            addressed.order is Order.Stage && instance.loading -> OrderOutcome.Busy
            random.nextDouble() < delayedOrderFraction -> {
                val delay = 2.seconds + 10.seconds * random.nextDouble()
                delayed += DelayedOrder(instance, addressed.order, instance.orders, now + delay)
                OrderOutcome.Unanswered("lost")
            }
            else -> apply(instance, addressed.order)
        }
    }

    private fun apply(instance: FakeInstance, order: Order): OrderOutcome {
        if (!instance.alive) return OrderOutcome.NotSent("no answer")
        if (order is Order.Join) checkJoin(instance, order)
        return instance.carryOut(order, now, engine.models, runningTime(instance))
    }

    /** The time that the running requests of the group of [head] take. */
    private fun runningTime(head: FakeInstance): Duration {
        val group = head.membership?.group
        val domains = instances.filter { it.membership?.group == group }.mapTo(HashSet()) { it.domain }
        return runningTime * (if (domains.size > 1) engine.crossDomainSlowdown ?: 1.0 else 1.0)
    }

    private fun checkJoin(instance: FakeInstance, order: Order.Join) {
        val former = instance.membership?.group ?: return
        val head = instances.firstOrNull { it.membership?.group == former && it.membership?.rank == 0 } ?: return
        if (order.group != former && head.serving) {
            violations += "$now: ${instance.id} joins ${order.group} while ${head.id} serves $former"
        }
    }

    private fun checkTargets() {
        table().all.forEach { target ->
            val group = checkNotNull(target.group)
            val size = engine.models.getValue(checkNotNull(target.model)).groupSize
            val ready = target.members.count { group to it.id in everReady }
            if (ready != size) violations += "$now: $group is a target with $ready of $size members"
        }
    }

    fun table(): TargetTable {
        val listed = lists.firstOrNull()?.second.orEmpty().associateBy { it.id }
        val profile = ServiceProfile(TestModels.service, connections = 10, engine = engine)
        val list = InstanceList(1, persistentMapOf<InstanceId, Instance>().putAll(listed))
        return TargetIndex().update(list, mapOf(profile.name to profile), evacuated)
    }

    companion object {
        private val STEP = 100.milliseconds
        private val LIST_LAG = 300.milliseconds

        /** Time for which the list still shows an instance that has ended. */
        val LISTED_AFTER_DEATH = 3.seconds
    }
}
