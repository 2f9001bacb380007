package boragering.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain

class FaultyTargetTest : DescribeSpec({
    describe("a refusal that a target writes once more on a kept connection") {
        fun repeating(refusal: String): ScriptedTarget {
            var refusedOn = 0
            return ScriptedTarget { number ->
                if (number == 1) refusedOn = connection
                if (connection == refusedOn) write(refusal)
                if (number > 1) answer(200, "done")
            }
        }

        listOf(
            "with the earlier id" to "HTTP/1.1 503 X\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
            "without an id" to "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
        ).forEach { (what, refusal) ->
            it("$what is not taken for a later request's (guards against 503 for requests that ran)") {
                GatewayFixture(repeating(refusal)).use { gateway ->
                    gateway.caller().call("/non_idempotent/a").status shouldBe 503
                    val later = gateway.caller().apply { id = "r2" }
                    later.call("/non_idempotent/a").status shouldBe 200
                }
            }
        }
    }

    describe("a stream that broke off") {
        it("is not continued with the text of an error (guards against mixed streams)") {
            val breaking = ScriptedTarget {
                beginStream()
                event("id: 1\ndata: a\n\n")
                close()
            }
            val failing = ScriptedTarget { answer(500, "id: 2\ndata: the error\n\n") }
            repeat(4) {
                GatewayFixture(breaking, failing).use { gateway ->
                    val caller = gateway.caller()
                    caller.request("/resumable_stream/a")
                    val outcome = runCatching { caller.answer() }
                    outcome.exceptionOrNull()?.message.orEmpty() shouldNotContain "the error"
                    if (outcome.isSuccess) outcome.getOrNull()?.status shouldBe 500
                }
            }
        }
    }

    describe("a target that closes inside the head of its response") {
        listOf(
            "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Le",
            "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\n",
            "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s",
            "HTTP/1.1 200",
        ).forEach { head ->
            it("after ${head.length} bytes leads to no success (guards against empty answers that look whole)") {
                GatewayFixture(ScriptedTarget { write(head).also { close() } }).use { gateway ->
                    val answer = gateway.caller().call("/non_idempotent/a")
                    answer.status shouldBe 502
                    answer.header("signature").shouldBeNull()
                }
            }
        }
    }
})
