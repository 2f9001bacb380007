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
        it("is certain when most others say so and none contradicts (guards against a stop for nothing)") {
            outage(false, false, false).isCertain(others, 10.5.seconds) shouldBe true
        }

        listOf(
            "one says that the store answers" to outage(false, false, false, true),
            "too few say so" to outage(false, false),
            "nobody says anything" to outage(),
        ).forEach { (what, outage) ->
            it("is not certain when $what (guards against two planners at a time)") {
                outage.isCertain(others, 10.5.seconds) shouldBe false
            }
        }

        it("is not certain any more after a while (guards against a store that is back for others)") {
            outage(false, false, false).isCertain(others, 12.seconds) shouldBe false
        }

        it("is never certain for a gateway that knows no other (guards against a gateway that is cut off)") {
            StoreOutageDetector().isCertain(emptyList(), 10.seconds) shouldBe false
        }
    }
})
