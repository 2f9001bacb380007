package boragering.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

private const val STATED_RATE = 2

class TargetRateLimitTest : DescribeSpec({
    describe("a target that states a rate limit") {
        it("gets no more than it takes while others are free (guards against targets in need that get more)") {
            val limited = ScriptedTarget { answer(200, "done", "Limit: $STATED_RATE.0") }
            val free = ScriptedTarget { answer(200, "done") }
            GatewayFixture(limited, free).use { gateway ->
                gateway.clock.stop()
                val caller = gateway.caller()
                repeat(40) { caller.call("/non_idempotent/a").status shouldBe 200 }
                // No time has passed; the first request is the one that learns of the limit.
                limited.requests.size shouldBeLessThanOrEqualTo STATED_RATE + 1
            }
        }

        it("alone leads to refusals at once (guards against requests that wait for their deadlines)") {
            val limited = ScriptedTarget { answer(200, "done", "Limit: $STATED_RATE.0") }
            GatewayFixture(limited).use { gateway ->
                gateway.clock.stop()
                val statuses = (1..10).map { gateway.caller().call("/non_idempotent/a").status }
                statuses.toSet() shouldBe setOf(200, 503)
            }
        }

        it("gets any rate again once an answer states none (guards against limits that outlive the need)") {
            val recovering = ScriptedTarget { number ->
                if (number == 1) answer(200, "done", "Limit: $STATED_RATE.0") else answer(200, "done")
            }
            GatewayFixture(recovering).use { gateway ->
                val caller = gateway.caller()
                caller.call("/non_idempotent/a")
                gateway.clock.advance(1.seconds)
                repeat(10) { caller.call("/non_idempotent/a").status shouldBe 200 }
            }
        }
    }
})
