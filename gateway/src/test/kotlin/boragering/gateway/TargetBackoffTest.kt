package boragering.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

class TargetBackoffTest : DescribeSpec({
    /** A target that refuses its first request and asks for none for [time]. */
    fun refusing(time: String): ScriptedTarget = ScriptedTarget { number ->
        if (number == 1) {
            write("HTTP/1.1 503 X\r\nNot-Run: 1\r\nRetry-After: $time\r\nContent-Length: 0\r\n\r\n")
        } else {
            answer(200, "done")
        }
    }

    /** Sends requests until [target] has got one. */
    fun GatewayFixture.reach(target: ScriptedTarget) {
        while (target.requests.isEmpty()) caller().call("/non_idempotent/a").status shouldBe 200
    }

    describe("a target that refuses a request and says for how long") {
        it("gets none until then, and some afterwards (guards against requests that it does not want)") {
            val target = refusing("3.5")
            GatewayFixture(target, ScriptedTarget { answer(200, "done") }).use { gateway ->
                gateway.clock.stop()
                gateway.reach(target)
                repeat(30) { gateway.caller().call("/idempotent/a").status shouldBe 200 }
                target.requests.size shouldBe 1
                gateway.clock.advance(4.seconds)
                repeat(30) { gateway.caller().call("/idempotent/a").status shouldBe 200 }
                target.requests.size shouldBeGreaterThan 1
            }
        }

        it("gets none as the only one, and callers are told when (guards against callers that return too early)") {
            val target = refusing("3")
            GatewayFixture(target).use { gateway ->
                gateway.clock.stop()
                repeat(5) {
                    val refusal = gateway.caller().call("/idempotent/a")
                    refusal.status shouldBe 503
                    refusal.header("Retry-After").shouldNotBeNull().toDouble() shouldBeGreaterThan 2.0
                }
            }
            target.requests.size shouldBe 1
        }
    }

    describe("a time that cannot be read") {
        listOf("soon", "-3", "NaN").forEach { time ->
            it("such as $time is ignored (guards against targets that get nothing for a typing error)") {
                val target = refusing(time)
                GatewayFixture(target).use { gateway ->
                    gateway.caller().call("/idempotent/a").status shouldBe 503
                    gateway.caller().call("/idempotent/a").status shouldBe 200
                }
            }
        }
    }
})
