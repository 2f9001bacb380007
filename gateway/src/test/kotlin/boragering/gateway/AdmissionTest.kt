package boragering.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

/** The only target takes one request in 100 ms from a second request on, so that others lack capacity. */
class AdmissionTest : DescribeSpec({
    suspend fun GatewayFixture.awaitRequestsInProgress(count: Int) =
        eventually(10.seconds) { gateway.requestsInProgress shouldBe count }

    describe("a request that finds no capacity where routes have different priorities") {
        it("waits and is sent once there is capacity (guards against refusals although capacity is near)") {
            val target = ScriptedTarget { answer(200, "done", "Limit: 10.0") }
            GatewayFixture(target, capacity = GatewayCapacity(prioritised = true)).use { gateway ->
                val caller = gateway.caller()
                (1..5).map { caller.call("/non_idempotent/a").status } shouldBe List(5) { 200 }
                target.requests.size shouldBe 5
            }
        }

        it("is rejected as not run with a time to come back (guards against requests held until their deadlines)") {
            val target = ScriptedTarget { answer(200, "done", "Limit: 0.1") }
            GatewayFixture(target, capacity = GatewayCapacity(prioritised = true)).use { gateway ->
                val caller = gateway.caller()
                caller.call("/non_idempotent/a").status shouldBe 200
                val rejected = caller.call("/non_idempotent/a")
                rejected.status shouldBe 503
                rejected.header("Retry-After").shouldNotBeNull().toDouble() shouldBeGreaterThanOrEqualTo 0.3
                target.requests.size shouldBe 1
            }
        }

        it("ends with its caller's connection (guards against requests that run for callers that have left)") {
            val target = ScriptedTarget { answer(200, "done", "Limit: 10.0") }
            GatewayFixture(target, capacity = GatewayCapacity(prioritised = true)).use { gateway ->
                // The target has no capacity until the test advances the time.
                gateway.clock.stop()
                val caller = gateway.caller()
                caller.call("/non_idempotent/a").status shouldBe 200
                gateway.caller().use {
                    it.request("/non_idempotent/b")
                    gateway.awaitRequestsInProgress(1)
                }
                gateway.awaitRequestsInProgress(0)
                gateway.clock.advance(1.seconds)
                caller.call("/non_idempotent/a").status shouldBe 200
                target.requests.count { "/non_idempotent/b" in it.startLine } shouldBe 0
            }
        }
    }
})
