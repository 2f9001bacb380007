package boragering.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThan
import kotlin.time.Duration.Companion.seconds

/** Pools that lose a third of their instances within half a minute, with far fewer weight loads than losses. */
class LossyDayTest : DescribeSpec({
    val loads = mapOf(
        "groups of four and three" to LossyLoad.NINES,
        "groups of four and two" to LossyLoad.EIGHTS,
        "groups of sixteen and four" to LossyLoad.LARGE_GROUPS,
    )

    loads.forEach { (name, load) ->
        describe("a pool with $name") {
            val days = LossyDay.play(load, 1..20)

            it("serves nine tenths of the demand (guards against members that wait for a load)") {
                days.sumOf { it.servedShare } / days.size shouldBeGreaterThan 0.9
            }

            it("never violates the invariants between groups") {
                days.flatMap { it.violations }.shouldBeEmpty()
            }
        }
    }

    mapOf(
        "one scarce model" to (LossyLoad.SCARCE_SMALL_GROUPS to 0.7),
        "few groups" to (LossyLoad.FEW_GROUPS to 0.75),
        "domains of 19" to (LossyLoad.NINETEENS to 0.85),
    ).forEach { (name, expected) ->
        describe("a pool with $name that follows its demand") {
            val (load, least) = expected
            val days = LossyDay.play(load.copy(followsDemand = true), 1..12)

            it("serves most of the demand (guards against groups that are not formed again)") {
                days.sumOf { it.servedShare } / days.size shouldBeGreaterThan least
            }

            it("never violates the invariants between groups") {
                days.flatMap { it.violations }.shouldBeEmpty()
            }
        }
    }

    mapOf(
        "one scarce model" to (LossyLoad.SCARCE_SMALL_GROUPS to "four"),
        "few groups" to (LossyLoad.FEW_GROUPS to "four"),
        "domains of 19" to (LossyLoad.NINETEENS to "eight"),
    ).forEach { (name, short) ->
        describe("a pool with $name that may form groups across domains") {
            val (load, model) = short
            val engine = load.engine.copy(crossDomainSlowdown = null)
            val closing = load.copy(followsDemand = true, runningTime = 1.seconds)
            val without = LossyDay.play(closing.copy(engine = engine), 1..12)
            val with = LossyDay.play(closing, 1..12)
            fun List<LossyDay>.served() = sumOf { it.servedShare(ModelName(model)) } / size

            it("serves more of the scarce model (guards against a model without groups beside its idle holders)") {
                with.served() shouldBeGreaterThan without.served() + 0.01
            }

            it("never violates the invariants between groups") {
                with.flatMap { it.violations }.shouldBeEmpty()
            }
        }
    }

    describe("a pool whose demand differs from the configured shares") {
        val configured = LossyDay.play(LossyLoad.UNEVEN, 1..12)
        val following = LossyDay.play(LossyLoad.UNEVEN.copy(followsDemand = true), 1..12)
        fun List<LossyDay>.served(model: String) = sumOf { it.servedShare(ModelName(model)) } / size

        it("serves the model that is in demand (guards against groups that refuse beside idle ones)") {
            following.served("two") shouldBeGreaterThan 0.97
            following.served("two") shouldBeGreaterThan configured.served("two") + 0.01
        }

        it("keeps serving the other model (guards against a model that loses all its groups)") {
            following.served("eight") shouldBeGreaterThan 0.9
        }

        it("never violates the invariants between groups") {
            following.flatMap { it.violations }.shouldBeEmpty()
        }
    }
})
