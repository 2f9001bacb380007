package boragering.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ReadIntervalTest : DescribeSpec({
    describe("the interval between reads of the store") {
        it("is short while there are few gateways (guards against late detection of lost instances)") {
            ReadInterval.of(gateways = 9, planning = false, reader = false) shouldBe 350.milliseconds
        }

        it("grows with the gateways, so that their total call rate does not (guards against an overloaded store)") {
            listOf(30, 50, 77).forEach { gateways ->
                val calls = gateways * (1.seconds / ReadInterval.of(gateways, planning = false, reader = false))
                calls shouldBeLessThan 90.0
            }
        }

        it("is at most half the time in which a change has to be known (guards against work for leaving targets)") {
            ReadInterval.of(gateways = 430, planning = false, reader = false) shouldBeLessThanOrEqualTo 1.seconds
        }

        it("is short for a reader (guards against late changes at all gateways that read from it)") {
            ReadInterval.of(gateways = 430, planning = false, reader = true) shouldBe 350.milliseconds
        }

        it("is shortest for the planner, since there is only one") {
            ReadInterval.of(gateways = 430, planning = true, reader = false) shouldBe 200.milliseconds
        }
    }
})
