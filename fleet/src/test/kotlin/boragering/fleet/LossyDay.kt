package boragering.fleet

import boragering.core.FabricDomain
import kotlinx.collections.immutable.persistentMapOf
import kotlin.math.PI
import kotlin.math.sin
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A pool, its demand and its losses.
 *
 * @property busyGroups number of groups of each model that the mean demand keeps busy.
 * @property lossSize members of groups of one availability zone that are lost at once.
 * @property swing amplitude of the demand relative to its mean.
 * @property followsDemand whether the planner gets the shares that [ModelDemand] derives from the demand, which it is
 * told exactly.
 * @property runningTime time that a group within one domain takes to finish its requests when it is closed.
 */
internal data class LossyLoad(
    val engine: EngineProfile,
    val perDomain: Int,
    val busyGroups: Map<ModelName, Double>,
    val lossSize: Int = 2,
    val arrivalInterval: Duration = 3.seconds,
    val swing: Double = 0.55,
    val domains: Int = 6,
    val followsDemand: Boolean = false,
    val runningTime: Duration = Duration.ZERO,
) {
    companion object {
        private val four = ModelProfile(ModelName("four"), 4, share = 0.57, 16.seconds, 1.6.seconds)
        private val three = ModelProfile(ModelName("three"), 3, share = 0.43, 12.seconds, 1.1.seconds)
        private val two = ModelProfile(ModelName("two"), 2, share = 0.33, 12.seconds, 1.1.seconds)
        private val fourBesideTwo = four.copy(share = 0.67)
        private val sixteen = ModelProfile(ModelName("sixteen"), 16, share = 0.5, 16.seconds, 1.6.seconds)
        private val fourBesideSixteen = three.copy(name = four.name, groupSize = 4, share = 0.5)

        private fun engine(vararg models: ModelProfile, loadsPerSecond: Double = 4.5, loadsAtOnce: Int = 6) =
            EngineProfile(
                slots = 18,
                models = persistentMapOf<ModelName, ModelProfile>().putAll(models.associateBy { it.name }),
                loadsPerSecond = loadsPerSecond,
                loadsAtOnce = loadsAtOnce,
                formationTime = 300.milliseconds,
                crossDomainSlowdown = 4.0,
            )

        /** Groups of four and three in domains of nine. */
        val NINES = LossyLoad(engine(four, three), perDomain = 9, mapOf(four.name to 2.9, three.name to 3.3))

        /** Groups of four and two in domains of eight. */
        val EIGHTS = LossyLoad(engine(fourBesideTwo, two), perDomain = 8, mapOf(four.name to 3.0, two.name to 3.0))

        /** Groups of sixteen and four in domains of 37. */
        val LARGE_GROUPS = LossyLoad(
            engine(sixteen, fourBesideSixteen, loadsPerSecond = 18.0, loadsAtOnce = 24),
            perDomain = 37,
            busyGroups = mapOf(sixteen.name to 3.0, four.name to 12.0),
            lossSize = 6,
            arrivalInterval = 1.5.seconds,
        )

        private val eight = sixteen.copy(name = ModelName("eight"), groupSize = 8)

        /** Equal shares for groups of eight, which are nearly idle, and of two, which have most of the demand. */
        val UNEVEN = LossyLoad(
            engine(eight, two.copy(share = 0.5), loadsPerSecond = 14.0, loadsAtOnce = 20),
            perDomain = 18,
            busyGroups = mapOf(eight.name to 2.1, two.name to 24.0),
            lossSize = 3,
            swing = 0.3,
            domains = 9,
        )

        private val fourOfHalf = four.copy(share = 0.5)
        private val twoOfHalf = two.copy(share = 0.5)

        /** Equal shares for groups of four, one of which suffices, and of two; four weight loads at once. */
        val SCARCE_SMALL_GROUPS = LossyLoad(
            engine(fourOfHalf, twoOfHalf, loadsPerSecond = 14.0, loadsAtOnce = 4),
            perDomain = 6,
            busyGroups = mapOf(four.name to 0.7, two.name to 3.5),
            swing = 0.3,
        )

        /** Equal shares for groups of four and two, one or two of which suffice, in domains of seven. */
        val FEW_GROUPS = LossyLoad(
            engine(fourOfHalf, twoOfHalf, loadsPerSecond = 14.0, loadsAtOnce = 5),
            perDomain = 7,
            busyGroups = mapOf(four.name to 0.7, two.name to 1.2),
            lossSize = 3,
        )

        private val fourBesideEight = twoOfHalf.copy(name = four.name, groupSize = 4)

        /** Equal shares for groups of eight and four in domains of 19. */
        val NINETEENS = LossyLoad(
            engine(eight, fourBesideEight, loadsPerSecond = 14.0, loadsAtOnce = 20),
            perDomain = 19,
            busyGroups = mapOf(eight.name to 1.8, four.name to 4.5),
            lossSize = 10,
            arrivalInterval = 0.75.seconds,
            domains = 9,
        )
    }
}

/**
 * Plays the losses of a day against the planner and a pool of six domains in three availability zones, and measures
 * which share of a swinging demand the groups could serve.
 */
internal class LossyDay(private val load: LossyLoad, seed: Int) {
    private val random = Random(seed)
    private val pool = FakePool(random, load.domains, load.perDomain, load.engine)
    private val served = HashMap<ModelName, Double>()
    private val offered = HashMap<ModelName, Double>()
    private val demand = ModelDemand()
    private var nextLoss = LOSS_INTERVAL
    private var nextArrival = FIRST_ARRIVAL
    private var nextPlanner = PLANNER_INTERVAL
    private var zone = 0

    val violations: List<String> get() = pool.violations

    /** Share of the demand for [model] that could be served. */
    fun servedShare(model: ModelName): Double = served.getValue(model) / offered.getValue(model)

    /** Share of the whole demand that could be served. */
    val servedShare: Double get() = load.engine.models.values.sumOf { it.share * servedShare(it.name) }

    init {
        pool.loadsSlowEachOther = true
        pool.runningTime = load.runningTime
        pool.loadSpeed = LOAD_SPEED_BEFORE_DEMAND
        pool.run(LEAD_TIME)
        pool.loadSpeed = 1.0
        val start = pool.now
        while (pool.now - start < LENGTH) {
            disturb(pool.now - start)
            pool.run(STEP)
            measure(pool.now - start)
        }
    }

    private fun disturb(time: Duration) {
        if (time >= nextLoss) {
            nextLoss += LOSS_INTERVAL
            loseMembers(zone++ % ZONES)
        }
        if (time >= nextPlanner) {
            nextPlanner += PLANNER_INTERVAL
            pool.replacePlanner()
        }
        if (time >= nextArrival) {
            nextArrival += load.arrivalInterval
            repeat(2) { pool.add(domains(random.nextInt(ZONES)).random(random)) }
        }
    }

    private fun domains(zone: Int): List<FabricDomain> =
        List(load.domains / ZONES) { FabricDomain("d${zone * (load.domains / ZONES) + it}") }

    private fun loseMembers(zone: Int) {
        val groups = pool.instances.filter { it.alive && it.membership != null }.groupBy { it.membership?.group }
        val members = groups.values.filter { it.size > 1 }.flatten().filter { it.domain in domains(zone) }
        members.shuffled(random).take(load.lossSize).forEach(pool::kill)
    }

    private fun measure(time: Duration) {
        val groups = pool.capacity()
        val wave = 1 + load.swing * sin(2 * PI * (time / SWING_PERIOD))
        load.busyGroups.forEach { (model, busy) ->
            val demand = busy * wave
            offered.merge(model, demand, Double::plus)
            served.merge(model, minOf(demand, (groups[model] ?: 0.0) * USABLE_SHARE), Double::plus)
        }
        if (load.followsDemand) follow(groups, wave)
    }

    /** Passes the shares to the planner that a gateway derives from the requests in progress at the groups. */
    private fun follow(groups: Map<ModelName?, Double>, wave: Double) {
        val loads = load.busyGroups.mapValues { (model, busy) ->
            val unserved = 1 - (groups[model] ?: 0.0) * USABLE_SHARE / (busy * wave)
            ModelLoad(busy * wave * load.engine.slots, unserved.coerceAtLeast(0.0))
        }
        demand.record(load.engine, loads, pool.now)
        pool.plannedEngine = demand.apply(load.engine, pool.now)
        pool.shortages = demand.shortages(pool.now)
    }

    companion object {
        private const val ZONES = 3
        private val STEP = 200.milliseconds
        private val LEAD_TIME = 18.seconds
        private val LENGTH = 34.seconds
        private val LOSS_INTERVAL = 2.9.seconds

        /** Time after which another process becomes the planner. */
        private val PLANNER_INTERVAL = 7.seconds
        private val FIRST_ARRIVAL = 12.seconds
        private val SWING_PERIOD = 13.seconds

        /** Speed of loads from the weight store before callers are served. */
        private const val LOAD_SPEED_BEFORE_DEMAND = 10.0

        /** Share of a group's time up to which its requests are answered on time. */
        private const val USABLE_SHARE = 0.85

        /** Plays days of [load] with [seeds]. */
        fun play(load: LossyLoad, seeds: IntRange): List<LossyDay> =
            seeds.toList().parallelStream().map { LossyDay(load, it) }.toList()
    }
}
