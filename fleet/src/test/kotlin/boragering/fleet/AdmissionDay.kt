package boragering.fleet

import boragering.core.AvailabilityZone
import boragering.core.GroupId
import boragering.core.InstanceId
import boragering.core.OrganisationName
import kotlinx.collections.immutable.persistentListOf
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One kind of request of an [AdmissionDay]; [perSecond] is its rate for all organisations together. */
internal data class UrgentKind(val urgency: Int, val perSecond: Double, val targetLatency: Duration) {
    val route = Route(
        name = "r$urgency",
        host = "x.example",
        prefix = "/$urgency/",
        repeatability = Repeatability.SINGLE_STREAM,
        split = persistentListOf(WeightedService(TestModels.service, 1.0)),
        attempts = 1,
        timeout = 8.seconds,
        targetLatency = targetLatency,
        priority = urgency,
    )
}

/**
 * Demand above the capacity of a few groups.
 *
 * @property kindFactor how much more than usual the least urgent kind is asked for.
 * @property organisationFactor how much more than usual the first organisation asks for.
 * @property repeaters fraction of the callers that repeat at once instead of when they are told.
 * @property patienceSpread by which part of the usual time callers may wait less for an answer, each by another one.
 * @property late fraction of the callers whose first attempt arrives up to 0.6 s late because of the network.
 * @property shared whether capacity is shared by urgency; otherwise callers are refused with a random retry time.
 */
internal data class AdmissionLoad(
    val kindFactor: Double = 1.0,
    val organisationFactor: Double = 1.0,
    val repeaters: Double = 0.0,
    val late: Double = 0.0,
    val patienceSpread: Double = 0.0,
    val shared: Boolean = true,
) {
    val kinds = listOf(
        UrgentKind(urgency = 1, perSecond = 18.0, 502.milliseconds),
        UrgentKind(urgency = 2, perSecond = 16.0 * kindFactor, 1_002.milliseconds),
    )
}

/** What a set of callers got. */
internal class AdmissionTally {
    var asked = 0
    var served = 0
    var onTime = 0
    val servedShare: Double get() = served.toDouble() / asked
    val onTimeShare: Double get() = onTime.toDouble() / asked

    override fun toString() = "asked $asked, served $served, on time $onTime"
}

/** Plays callers of several organisations, gateways with the real decisions and emulated groups, in virtual time. */
internal class AdmissionDay(private val load: AdmissionLoad, gateways: Int, seed: Int) {
    private val random = Random(seed)
    private val groups = List(GROUPS) { EmulatedGroup(TIMING) }
    private val targets = List(GROUPS, ::target)
    private val nodes = List(gateways) { Node(Random(seed * SEEDS_PER_DAY + it)) }
    private val due = ArrayList<Pair<Duration, Caller>>()
    private val callers = ArrayList<Caller>()
    private var now = Duration.ZERO

    /** Requests that waited in a gateway, and the longest time from a first arrival or return to the end of a wait. */
    var queued = 0
    var longestWait = Duration.ZERO

    fun tally(select: (Caller) -> Boolean): AdmissionTally = AdmissionTally().also { tally ->
        callers.filter { it.startedAt > SURGE_START && select(it) }.forEach {
            tally.asked += 1
            if (it.request.done) tally.served += 1
            if (it.onTime) tally.onTime += 1
        }
    }

    inner class Caller(val kind: UrgentKind, val organisation: OrganisationName) {
        val startedAt = now
        val repeats = random.nextDouble() < load.repeaters

        /** Whether the first attempt arrives late. Without such callers nothing is drawn, so days stay comparable. */
        val late = load.late > 0 && random.nextDouble() < load.late
        val request = EmulatedRequest(random.nextInt(900, 2_000), random.nextInt(40, 200), kind.urgency)

        /** Time for which the caller waits for an answer. Nothing is drawn if all callers wait equally long. */
        val patience =
            PATIENCE * (1 - if (load.patienceSpread > 0) load.patienceSpread * random.nextDouble() else 0.0)
        private var attempts = 0
        var onTime = false

        fun start() = if (late) due += now + LONGEST_DELAY * random.nextDouble() to this else arrive()

        fun arrive() {
            attempts += 1
            nodes[random.nextInt(nodes.size)].receive(this)
        }

        fun onRefused(retryAfter: Duration) = when {
            repeats && attempts <= MAX_REPEATS -> due += now + REPEAT_TIME to this
            !repeats && attempts == 1 -> due += now + retryAfter to this
            else -> Unit
        }
    }

    /** One gateway: its own view of the groups, and the decisions under test. */
    private inner class Node(private val nodeRandom: Random) {
        private val choice = TargetChoice(AvailabilityZone("z"), nodeRandom)
        private val returns = CallerReturns()
        private val loads = MutableList(GROUPS) { TargetLoad() }
        val lane = AdmissionLane(nodeRandom)
        var capacityChanged = false

        fun receive(caller: Caller) {
            val left = caller.patience - (now - caller.startedAt)
            val attempt = Attempt(caller, returns.classify(caller.kind.route, left, now))
            when {
                load.shared -> lane.offer(attempt, now)
                attempt.trySend() == SendResult.FULL ->
                    caller.onRefused(300.milliseconds + 400.milliseconds * nodeRandom.nextDouble())
            }
        }

        private inner class Attempt(val caller: Caller, attempt: CallerAttempt) : PendingRequest {
            private val arrivedAt = now
            override val admission = AdmissionRequest(
                caller.organisation,
                caller.kind.urgency,
                caller.kind.targetLatency,
                now,
                caller.startedAt + caller.patience,
                attempt,
            ).let { lane.rejectedCallers.correct(it, nodes.size) }

            override fun trySend(): SendResult {
                val limit = lane.demand.occupancyLimit(admission, now)
                val context = ChoiceContext(nodes.size, now, admission.targetLatency, occupancyLimit = limit)
                val chosen = choice.choose(targets.zip(loads, ::Candidate), context)
                if (chosen !is Choice.Chosen) return SendResult.FULL
                send(caller, targets.indexOf(chosen.candidate.target))
                return SendResult.SENT
            }

            override fun onQueued(position: Int, expectedWait: Duration) {
                queued += 1
            }

            override fun onDequeued() = recordWait()

            override fun reject(rejection: AdmissionRejection) {
                recordWait()
                caller.onRefused(rejection.retryAfter)
            }

            private fun recordWait() {
                longestWait = maxOf(longestWait, now - arrivedAt)
            }
        }

        private fun send(caller: Caller, index: Int) {
            var first = true
            loads[index] = loads[index].copy(ownInFlight = loads[index].ownInFlight + 1)
            check(groups[index].accept(caller.request)) { "a group's queue is full" }
            caller.request.onEvent = { at ->
                if (first) {
                    val report = LoadReport(groups[index].runningCount, groups[index].waitingCount, own(index), at)
                    loads[index] = loads[index].copy(report = report)
                    caller.onTime = at - caller.startedAt <= caller.kind.targetLatency
                }
                first = false
                if (caller.request.done) loads[index] = loads[index].copy(ownInFlight = own(index) - 1)
                capacityChanged = true
            }
        }

        private fun own(index: Int) = loads[index].ownInFlight
    }

    init {
        while (now < LENGTH + PATIENCE) {
            now += STEP
            if (now < LENGTH) load.kinds.forEach(::arrive)
            val returning = due.filter { it.first <= now }
            due.removeAll(returning)
            returning.forEach { it.second.arrive() }
            groups.forEach { it.advance(now) }
            nodes.filter { it.lane.waiting > 0 && (it.capacityChanged || every(20.milliseconds)) }
                .forEach { it.lane.wake(now) }
            nodes.forEach { it.capacityChanged = false }
            if (every(2.seconds)) exchangeCounts()
        }
    }

    private fun exchangeCounts() = nodes.forEachIndexed { index, from ->
        val distances = generateSequence(1) { it * 2 }.takeWhile { it < nodes.size }
        val neighbours = distances.flatMap { sequenceOf(index + it, index - it) }.map { nodes[it.mod(nodes.size)] }
        neighbours.toSet().minus(from).forEach { to ->
            to.lane.demand.shares.peers.update("g$index", from.lane.demand.shares.ownCounts(64, now), now)
            from.lane.demand.headroom.lowestShortage(now)?.let { to.lane.demand.headroom.recordPeerShortage(it, now) }
        }
    }

    private fun arrive(kind: UrgentKind) {
        val surge = now > SURGE_START
        WEIGHTS.forEachIndexed { index, weight ->
            val factor = if (surge && index == 0) load.organisationFactor else 1.0
            val perSecond = kind.perSecond * weight / WEIGHTS.sum() * factor
            if (random.nextDouble() >= perSecond * (STEP / 1.seconds)) return@forEachIndexed
            Caller(kind, OrganisationName("o$index")).also(callers::add).start()
        }
    }

    private fun every(interval: Duration) = now.inWholeMilliseconds % interval.inWholeMilliseconds == 0L

    private fun target(index: Int) = Target(
        service = TestModels.service,
        address = Address("h$index", 1),
        availabilityZone = AvailabilityZone("z"),
        slots = TIMING.slots,
        members = persistentListOf(InstanceStart(InstanceId("i$index"), 1)),
        model = TestModels.large.name,
        group = GroupEpoch(GroupId("g$index"), 1),
    )

    companion object {
        private val STEP = 1.milliseconds
        private val LENGTH = 24.seconds
        private val SURGE_START = 6.seconds
        private val PATIENCE = 8.seconds
        private val LONGEST_DELAY = 600.milliseconds
        private val REPEAT_TIME = 60.milliseconds
        private const val MAX_REPEATS = 4
        private const val GROUPS = 3
        private const val SEEDS_PER_DAY = 1_000
        private val TIMING = EngineTiming(slots = 14)

        /** The organisations' usual parts of the demand. */
        private val WEIGHTS = listOf(20, 30, 15, 10, 10, 6, 5, 4)

        fun play(load: AdmissionLoad, gateways: Int = 6): List<AdmissionDay> =
            (1..3).toList().parallelStream().map { AdmissionDay(load, gateways, it) }.toList()
    }
}
