package boragering.gateway

import boragering.fleet.ColdStartProfile
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private fun fixture(vararg targets: ScriptedTarget) = GatewayFixture(*targets, configured = false).also {
    it.coldStart = ColdStartProfile(3.seconds, requestsPerSecond = 4.0)
    it.coldTimes = listOf(2.seconds, Duration.ZERO)
    it.configure()
    // The number of requests that a cold target gets grows with the time, which must not depend on the machine.
    it.clock.stop()
}

class ColdTargetTest : DescribeSpec({
    describe("a target that is cold") {
        it("gets few requests while others are free (guards against a target that crashes as it comes back)") {
            val cold = ScriptedTarget { answer(200, "done") }
            val warm = ScriptedTarget { answer(200, "done") }
            fixture(cold, warm).use { gateway ->
                val caller = gateway.caller()
                repeat(40) { caller.call("/non_idempotent/a").status shouldBe 200 }
                cold.requests.size shouldBeLessThanOrEqualTo 6
            }
        }

        it("gets its share again once it is warm (guards against targets that stay unused)") {
            val cold = ScriptedTarget { answer(200, "done") }
            val warm = ScriptedTarget { answer(200, "done") }
            fixture(cold, warm).use { gateway ->
                gateway.clock.advance(3.seconds)
                val caller = gateway.caller()
                repeat(40) { caller.call("/non_idempotent/a").status shouldBe 200 }
                cold.requests.size shouldBeGreaterThan 10
            }
        }
    }
})
