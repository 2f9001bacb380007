package boragering.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

class LeavingTargetTest : DescribeSpec({
    /** A target that says in each response that it leaves. */
    fun leaving(respond: Script.() -> Unit): ScriptedTarget = ScriptedTarget { respond() }

    val responses = listOf<Pair<String, Script.() -> Unit>>(
        "an answer" to { answer(200, "done", "Signature: s", "Leaving: 1") },
        "a refusal" to { write("HTTP/1.1 503 X\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n") },
        "a failure" to { answer(500, "failed", "Signature: s", "Leaving: 1") },
    )

    describe("a target that says that it leaves") {
        responses.forEach { (what, respond) ->
            it("in $what gets no more requests (guards against requests to a target that ends)") {
                val target = leaving(respond)
                val staying = ScriptedTarget { answer(200, "done", "Signature: s") }
                GatewayFixture(target, staying).use { gateway ->
                    repeat(30) { gateway.caller().call("/idempotent/a") }
                    repeat(10) { gateway.caller().call("/idempotent/a").status shouldBe 200 }
                }
                target.requests.size shouldBe 1
            }
        }

        it("gets none after a change of the list that still shows it (guards against an outdated list)") {
            val target = leaving { answer(200, "done", "Signature: s", "Leaving: 1") }
            val staying = ScriptedTarget { answer(200, "done", "Signature: s") }
            GatewayFixture(target, staying).use { gateway ->
                repeat(30) { gateway.caller().call("/non_idempotent/a").status shouldBe 200 }
                gateway.configure()
                repeat(30) { gateway.caller().call("/non_idempotent/a").status shouldBe 200 }
            }
            target.requests.size shouldBe 1
        }

        it("alone leads to refusals at once after a moment (guards against requests that are lost with it)") {
            val target = leaving { answer(200, "done", "Signature: s", "Leaving: 1") }
            GatewayFixture(target).use { gateway ->
                gateway.clock.stop()
                gateway.caller().call("/non_idempotent/a").status shouldBe 200
                gateway.caller().call("/non_idempotent/a").status shouldBe 200
                gateway.clock.advance(1.5.seconds)
                gateway.caller().call("/non_idempotent/a").status shouldBe 503
            }
        }
    }
})
