package boragering.gateway

import boragering.fleet.CallerLimits
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.measureTime

/** Callers that exceed the operator's limits. */
class CallerLimitsTest : DescribeSpec({
    fun <T> with(fixture: GatewayFixture, action: GatewayFixture.() -> T): T = fixture.use(action)

    describe("a caller that is slow") {
        val limits = CallerLimits(8_192, 1_000, headerTimeout = 400.milliseconds, idleTimeout = 800.milliseconds)

        it("with the head of a request is answered 408 (guards against partial requests that are kept for ever)") {
            with(GatewayFixture(limits = limits)) {
                val caller = caller()
                caller.write("POST /idempotent/a HT")
                caller.answer()?.status shouldBe 408
            }
        }

        it("to send another request is closed after the idle timeout (guards against connections kept for ever)") {
            with(GatewayFixture(limits = limits)) {
                // From before the connection, whose idle time the gateway counts from when it accepts it.
                val time = measureTime { caller().answer().shouldBeNull() }
                (time > 700.milliseconds) shouldBe true
            }
        }

        it("loses one idle connection when another caller connects (guards against exhausted file descriptors)") {
            with(GatewayFixture(ScriptedTarget { answer(200, "done") }, capacity = GatewayCapacity(callers = 2))) {
                val idle = List(2) { caller() }
                idle.forEach { it.call("/idempotent/a").status shouldBe 200 }
                caller().call("/idempotent/a").status shouldBe 200
                idle.first().answer().shouldBeNull()
                idle.last().call("/idempotent/a").status shouldBe 200
            }
        }

        it("sends a body above the limit and is answered 413 (guards against memory exhaustion by bodies)") {
            with(GatewayFixture(limits = limits)) {
                caller().call("/idempotent/a", body = "x".repeat(2_000)).status shouldBe 413
            }
        }

        it("sends headers above the limit and is answered 431 (guards against memory exhaustion by headers)") {
            with(GatewayFixture(limits = limits)) {
                caller().call("/idempotent/a", "Long: ${"x".repeat(9_000)}").status shouldBe 431
            }
        }
    }
})
