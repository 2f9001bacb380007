package boragering.gateway

import boragering.core.DaemonId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

class StoreOutageDetectorTest : DescribeSpec({
    val others = List(5) { DaemonId("gateway-$it") }

    fun outage(vararg statements: Boolean) = StoreOutageDetector().apply {
        statements.forEachIndexed { index, answers -> record(others[index], answers, 10.seconds) }
    }

    describe("an outage of the store") {
        it("is certain if most others report it and none contradicts (guards against a planner that stops early)") {
            outage(false, false, false).isCertain(others, 10.5.seconds) shouldBe true
        }

        listOf(
            "one reports that the store answers" to outage(false, false, false, true),
            "too few report it" to outage(false, false),
            "no gateway reports anything" to outage(),
        ).forEach { (what, outage) ->
            it("is not certain if $what (guards against two planners at a time)") {
                outage.isCertain(others, 10.5.seconds) shouldBe false
            }
        }

        it("is no longer certain after some time (guards against a store that answers others again)") {
            outage(false, false, false).isCertain(others, 12.seconds) shouldBe false
        }

        it("is never certain for a gateway that knows no other (guards against an isolated gateway)") {
            StoreOutageDetector().isCertain(emptyList(), 10.seconds) shouldBe false
        }
    }
})
