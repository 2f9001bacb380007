package boragering.core.groups

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import boragering.core.AvailabilityZone
import boragering.core.Candidate
import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.EntryName
import boragering.core.FabricDomain
import boragering.core.Fence
import boragering.core.GroupId
import boragering.core.Incarnation
import boragering.core.InstanceClient
import boragering.core.InstanceId
import boragering.core.InstancePhase
import boragering.core.InstanceReport
import boragering.core.LeaseId
import boragering.core.Order
import boragering.core.Store
import boragering.core.StoreFailure
import boragering.core.StoreRevision
import boragering.core.StoredValue
import boragering.core.SwapOutcome
import boragering.core.TargetFailure
import boragering.core.catalogue.Catalogue
import boragering.core.catalogue.catalogueOf
import boragering.core.catalogue.modelEntry
import boragering.core.membership.Item
import boragering.core.membership.Items
import boragering.core.membership.PeerLink
import boragering.core.membership.PeerMessage
import boragering.core.membership.Peers
import boragering.core.membership.Registration
import boragering.core.timeline.HybridTime
import boragering.core.timeline.Timeline
import boragering.core.timeline.TimelineEntry
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The fault that the store of a [GroupSimulation] injects into one call. */
internal enum class StoreFault { NONE, NOT_APPLIED, RESPONSE_LOST, APPLIED_LATE }

/** An in-memory platform with daemons that run controllers in virtual time. */
internal class GroupSimulation(private val test: TestScope, var catalogue: Catalogue = catalogueOf(modelEntry())) {
    val scope: CoroutineScope = test.backgroundScope
    val engines = LinkedHashMap<String, SimulatedEngine>()
    val daemons = ArrayList<SimulatedDaemon>()
    val store = SimulatedStore(this)

    /** Selects the instances that the live list contains. */
    var listed: (SimulatedEngine) -> Boolean = { true }

    /** Time by which pauses of all daemons have advanced the monotonic clock. */
    var paused = Duration.ZERO

    val clock = object : Clock {
        override fun wallMilliseconds(): Long = WALL_START + test.testScheduler.currentTime
        override fun monotonic(): Duration = 1.hours + paused + test.testScheduler.currentTime.milliseconds
    }

    fun engine(name: String, domain: String, pool: String = "gpu"): SimulatedEngine =
        SimulatedEngine(name, domain, pool, clock).also { engines[it.address] = it }

    /** Starts a daemon that knows the daemons named by [knows], and its controller. */
    fun daemon(name: String, vararg knows: String): SimulatedDaemon =
        SimulatedDaemon(this, name, (knows.toList() + name).sorted()).also {
            daemons += it
            scope.launch { it.controller.run() }
        }

    fun division(domain: String): Division? =
        store.values[Division.key(FabricDomain(domain))]?.let { DivisionDocument.decode(it.value) }

    /** All groups of all stored divisions. */
    fun groups(): List<Group> =
        store.values.values.mapNotNull { DivisionDocument.decode(it.value) }.flatMap { it.groups }

    /** Lets virtual time pass until [condition] holds; fails after [limit]. */
    suspend fun await(what: String, limit: Duration = 60.seconds, condition: () -> Boolean) {
        val end = clock.monotonic() + limit
        while (!condition()) {
            check(clock.monotonic() < end) { "timed out after $limit: $what; groups ${groups()}" }
            delay(STEP)
        }
    }

    companion object {
        const val WALL_START = 1_700_000_000_000
        val STEP = 50.milliseconds
    }
}

/** An engine, or an instance of a plain service when [pool] is `service`. */
internal class SimulatedEngine(name: String, var domain: String, val pool: String, private val clock: Clock) {
    val id = InstanceId(name)
    val address = "$name:1"
    var incarnation = Incarnation("$name-1")
    var reachable = true
    var leaving = false
    var listedLeaving = false
    var enforcesFencing = true
    var loads = true
    var running = 0
    val orders = ArrayList<Order>()
    private var group: GroupId? = null
    private var fence: Fence? = null
    private var highest = Fence(0)
    private var readyAt = Duration.ZERO
    private var model: Order.Load? = null

    fun report(): InstanceReport {
        val phase = when {
            pool == "service" -> InstancePhase.READY
            group == null -> InstancePhase.IDLE
            loads && clock.monotonic() >= readyAt -> InstancePhase.READY
            else -> InstancePhase.LOADING
        }
        return InstanceReport(
            id, incarnation, group, fence, phase, model?.model, model?.modelVersion, running, 0, SLOTS, leaving,
        )
    }

    fun take(order: Order): Either<TargetFailure, Unit> {
        orders += order
        if (enforcesFencing && order.fence < highest) return TargetFailure.Refused("stale", STALE).left()
        highest = maxOf(highest, order.fence)
        if (order is Order.Load) {
            group = order.group
            fence = order.fence
            model = order
            readyAt = clock.monotonic() + LOAD_TIME
        } else {
            group = null
            fence = null
        }
        return Unit.right()
    }

    fun restart() {
        incarnation = Incarnation("${incarnation.value}+")
        group = null
        fence = null
        highest = Fence(0)
        model = null
    }

    companion object {
        const val SLOTS = 8
        const val STALE = 409
        val LOAD_TIME = 2.seconds
    }
}

/** One daemon's ports and state. */
internal class SimulatedDaemon(private val simulation: GroupSimulation, name: String, known: List<String>) {
    val id = DaemonId(name)
    val events = ArrayList<TimelineEntry>()
    var stall = Duration.ZERO
    private val timeline = Timeline { events += it }
    val items = SimulatedItems(this, simulation)
    val peers = object : Peers {
        override val self = registration(name)
        override var live: PersistentList<Registration> = known.map(::registration).toPersistentList()
    }
    val divisions = DivisionReplica(items, timeline)
    private val echoes = EchoTracker(simulation.clock)
    val health = GroupHealth(peers, divisions, echoes, simulation.clock)
    private val link = PeerLink { to, message ->
        simulation.scope.launch {
            delay(LATENCY + stall)
            simulation.daemons.firstOrNull { it.id == to }?.receive(id, message)
        }
    }
    private var stamps = 0

    /** Selects the instances that this daemon can reach. */
    var reaches: (SimulatedEngine) -> Boolean = { true }
    private val targets = object : InstanceClient {
        override suspend fun report(address: String) = call(address) { it.report().right() }
        override suspend fun order(address: String, order: Order) = call(address) { it.take(order) }
    }
    private val liveList = object : LiveList {
        override suspend fun read(): Either<LiveListFailure, PersistentList<ListedInstance>> =
            simulation.engines.values.filter(simulation.listed).map(::listedInstance).toPersistentList().right()
    }
    val controller = DomainController(
        ControllerPorts(simulation.store, liveList, targets, items, link, timeline, simulation.clock, ::stamp),
        ControllerState(peers, { simulation.catalogue }, divisions, health, echoes),
    )

    fun candidates(entry: String = "m"): List<Candidate> = health.candidates(EntryName(entry))

    private fun stamp() = HybridTime(simulation.clock.wallMilliseconds(), stamps++, id)

    private fun receive(from: DaemonId, message: PeerMessage) = when (message) {
        is PeerMessage.Echo -> echoes.received(from, message)
        is PeerMessage.GroupSummaries -> health.accept(from, message)
        else -> Unit
    }

    private suspend fun <T> call(
        address: String,
        use: (SimulatedEngine) -> Either<TargetFailure, T>,
    ): Either<TargetFailure, T> {
        delay(LATENCY)
        val engine = simulation.engines[address]
        if (engine != null && engine.reachable && reaches(engine)) return use(engine)
        delay(LOST_AFTER)
        return TargetFailure.TimedOut("no answer").left()
    }

    private companion object {
        val LATENCY = 2.milliseconds
        val LOST_AFTER = 5.seconds

        fun registration(name: String) =
            Registration(DaemonId(name), "$name:1", "$name:2", "$name:3", AvailabilityZone("z"), "r")

        fun listedInstance(engine: SimulatedEngine) = ListedInstance(
            engine.id,
            engine.address,
            engine.pool,
            FabricDomain(engine.domain),
            AvailabilityZone("z"),
            if (engine.listedLeaving) ListedState.LEAVING else ListedState.LIVE,
        )
    }
}

/** The items of one daemon. Accepted items reach the daemons that it knows after a delay. */
internal class SimulatedItems(private val owner: SimulatedDaemon, private val simulation: GroupSimulation) : Items {
    private val known = sortedMapOf<String, Item>()
    private val listeners = ArrayList<Pair<String, (Item) -> Unit>>()

    override fun get(key: String): Item? = known[key]

    override fun all(prefix: String) = known.values.filter { it.key.startsWith(prefix) }.toPersistentList()

    override fun accept(item: Item): Boolean {
        if ((known[item.key]?.version ?: -1) >= item.version) return false
        known[item.key] = item
        listeners.filter { item.key.startsWith(it.first) }.forEach { it.second(item) }
        simulation.scope.launch {
            delay(SPREAD)
            val live = owner.peers.live.map { it.daemon }
            simulation.daemons.filter { it.id != owner.id && it.id in live }.forEach { it.items.accept(item) }
        }
        return true
    }

    override fun listen(prefix: String, listener: (Item) -> Unit) {
        listeners += prefix to listener
        all(prefix).forEach(listener)
    }

    private companion object {
        val SPREAD = 200.milliseconds
    }
}

/** An in-memory store. [fault] selects the fault of each call by its number, counted from 0. */
internal class SimulatedStore(private val simulation: GroupSimulation) : Store {
    val values = sortedMapOf<String, StoredValue>()
    val history = ArrayList<Division>()
    var fault: (Int) -> StoreFault = { StoreFault.NONE }
    var calls = 0
        private set
    private var revision = 0L

    /** Reads of this key throw, which violates the contract of [Store]. */
    var failingKey: String? = null

    override suspend fun get(key: String) = answer {
        check(key != failingKey) { "simulated fault on reading $key" }
        values[key]
    }

    override suspend fun getIfNewer(key: String, revision: StoreRevision) =
        answer { values[key]?.takeIf { it.revision > revision } }

    override suspend fun range(prefix: String) =
        answer { values.values.filter { it.key.startsWith(prefix) }.toPersistentList() }

    override suspend fun compareAndSwap(
        key: String,
        expected: StoreRevision,
        value: String,
        lease: LeaseId?,
    ): Either<StoreFailure, SwapOutcome> = answer { swap(key, expected, value) }

    override suspend fun compareAndDelete(key: String, expected: StoreRevision) = error("not simulated")

    override suspend fun grantLease(timeToLive: Duration) = error("not simulated")

    override suspend fun renewLease(lease: LeaseId) = error("not simulated")

    override suspend fun revokeLease(lease: LeaseId) = error("not simulated")

    override suspend fun awaitChange(prefix: String, after: StoreRevision, timeout: Duration) = error("not simulated")

    private suspend fun <T> answer(effect: () -> T): Either<StoreFailure, T> {
        val kind = fault(calls++)
        delay(LATENCY)
        return when (kind) {
            StoreFault.NONE -> effect().right()
            StoreFault.NOT_APPLIED -> StoreFailure.NotApplied("refused").left()
            StoreFault.RESPONSE_LOST -> {
                effect()
                StoreFailure.Uncertain("response lost").left()
            }
            StoreFault.APPLIED_LATE -> {
                simulation.scope.launch {
                    delay(LATE)
                    effect()
                }
                StoreFailure.Uncertain("timed out").left()
            }
        }
    }

    private fun swap(key: String, expected: StoreRevision, value: String): SwapOutcome {
        val current = values[key]
        if ((current?.revision ?: StoreRevision.NONE) != expected) return SwapOutcome.Conflict(current)
        val written = StoredValue(key, value, StoreRevision(++revision))
        values[key] = written
        DivisionDocument.decode(value)?.let { history += it }
        return SwapOutcome.Swapped(written.revision)
    }

    private companion object {
        val LATENCY = 3.milliseconds
        val LATE = 400.milliseconds
    }
}

/** A simulation with [domains] domains `f1`, `f2`… of [perDomain] engines each. */
internal fun TestScope.groupSimulation(domains: Int, perDomain: Int): GroupSimulation {
    val simulation = GroupSimulation(this)
    (1..domains).forEach { domain -> (1..perDomain).forEach { simulation.engine("i$domain-$it", "f$domain") } }
    return simulation
}

/** The engine of a member of [group] that is not its leader. */
internal fun GroupSimulation.follower(group: Group): SimulatedEngine =
    engines.values.first { engine -> group.members.any { it.instance == engine.id && it.instance != group.leader } }
