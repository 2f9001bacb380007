package boragering.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class ModelDemandTest : DescribeSpec({
    val (large, small) = TestModels.large.name to TestModels.small.name
    val engine = TestModels.engine.withShares(mapOf(large to 0.5, small to 0.5))

    /** The small model's share after the demand has been observed for some seconds. */
    fun share(demand: ModelDemand, largeLoad: ModelLoad, smallLoad: ModelLoad, from: Duration = Duration.ZERO): Double {
        val loads = mapOf(large to largeLoad, small to smallLoad)
        repeat(10) { demand.record(engine, loads, from + it.seconds) }
        return demand.apply(engine, from + 9.seconds).models.getValue(small).share
    }

    describe("a model whose callers are rejected beside one that serves all of its callers") {
        val busy = ModelLoad(requests = 60.0, unservedShare = 0.5)

        it("gets the instances that it needs (guards against idle groups beside rejected callers)") {
            share(ModelDemand(), ModelLoad(requests = 10.0), busy) shouldBeGreaterThan 0.7
        }

        it("keeps them for a while (guards against shares that change back and forth)") {
            val demand = ModelDemand()
            share(demand, ModelLoad(requests = 10.0), busy)
            share(demand, ModelLoad(requests = 10.0), ModelLoad(60.0), from = 9.seconds) shouldBeGreaterThan 0.7
        }

        it("is reported with its demand until it has recovered (guards against needless groups)") {
            val demand = ModelDemand()
            share(demand, ModelLoad(requests = 10.0), busy)
            demand.shortages(9.seconds).mapValues { it.value.roundToInt() } shouldBe mapOf(small to 3)
            share(demand, ModelLoad(requests = 10.0), ModelLoad(60.0), from = 11.seconds)
            demand.shortages(20.seconds) shouldBe emptyMap()
        }

        it("is not reported before the demand is known (guards against groups formed on first impressions)") {
            val demand = ModelDemand()
            demand.record(engine, mapOf(small to busy), Duration.ZERO)
            demand.shortages(1.seconds) shouldBe emptyMap()
        }

        it("leaves the other model a share (guards against a model that loses all its groups)") {
            val share = share(ModelDemand(), ModelLoad(requests = 0.0), busy)
            1 - share shouldBeGreaterThan 0.1
        }
    }

    it("keeps the configured shares while all callers are served (guards against needless regroupings)") {
        share(ModelDemand(), ModelLoad(requests = 10.0), ModelLoad(requests = 60.0)) shouldBe 0.5
    }

    it("keeps them while the callers of both models are rejected alike (guards against shares that follow noise)") {
        share(ModelDemand(), ModelLoad(30.0, 0.5), ModelLoad(60.0, 0.5)) shouldBe (0.5 plusOrMinus 0.01)
    }

    describe("a model that needs a little more than its configured share, for three minutes") {
        val pool = SharedPool(engine)
        val shares = pool.play(180.seconds, mapOf(large to 160.0, small to 495.0))

        it("loses its groups once at most (guards against groups dissolved and formed again every 10 s)") {
            shares.zipWithNext().count { (before, after) -> before > after && after == 0.5 } shouldBeLessThan 2
        }

        it("has them again after each shortage (guards against a hysteresis that keeps the shortage)") {
            shares.count { it == 0.5 } shouldBeLessThan 30
        }

        it("gives them back when it has needed less for long (guards against shares that never return)") {
            pool.play(330.seconds, mapOf(large to 160.0, small to 400.0)).last() shouldBe 0.5
        }
    }

    it("keeps the groups of models that are short in turn (guards against regrouping without free capacity)") {
        val shares = SharedPool(engine).play(180.seconds, mapOf(large to 220.0, small to 500.0))
        shares.zipWithNext().count { (before, after) -> before > after && after == 0.5 } shouldBeLessThan 2
    }
})

/** A pool of 100 instances that is divided at once by the shares that its own demand leads to. */
private class SharedPool(private val engine: EngineProfile) {
    private val demand = ModelDemand()
    private var planned = engine
    private var now = Duration.ZERO

    /** Plays [requests] in progress of each model for [length] and returns the small model's share in each second. */
    fun play(length: Duration, requests: Map<ModelName, Double>): List<Double> =
        (0 until length.inWholeSeconds).map {
            now += 1.seconds
            demand.record(engine, requests.mapValues { (model, wanted) -> load(model, wanted) }, now)
            planned = demand.apply(engine, now)
            planned.models.getValue(TestModels.small.name).share
        }

    private fun load(model: ModelName, wanted: Double): ModelLoad {
        val profile = planned.models.getValue(model)
        val capacity = (100 * profile.share / profile.groupSize).toInt() * engine.slots
        return ModelLoad(wanted, (1 - capacity / wanted).coerceAtLeast(0.0))
    }
}
