package boragering.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.collections.shouldNotContainDuplicates
import io.kotest.matchers.shouldBe
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/** A faulty target sends the beginning of a second response after a complete one. Those bytes belong to no request. */
class ExtraBytesTest : DescribeSpec({
    val refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n\r\n"
    val success = "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Length: 4\r\n\r\ndone"

    /** A response to the request r1, longer than the invalid one that follows a part of it. */
    val late = success.replace("Content-Length: 4", "Content-Length: 180").dropLast(4) + "y".repeat(180)

    fun beginnings(response: String): List<String> = (1..response.length).map { response.take(it) }

    /** Answers the second request with [status], after the bytes [extra] and [pause] milliseconds. */
    fun lateThenInvalid(status: Int, extra: String, pause: Long) = ScriptedTarget { number ->
        when {
            number == 1 -> answer(200, "done")
            pause == 0L -> answer(status, "x".repeat(100), before = extra)
            else -> {
                write(extra)
                Thread.sleep(pause)
                answer(status, "x".repeat(100))
            }
        }
    }

    fun ranIds(target: ScriptedTarget): List<String?> = target.requests.map { it.header("id") }

    describe("extra bytes in the same write as a complete response") {
        listOf("refusal" to refusal, "success" to success).forEach { (what, response) ->
            it("of a $what do not alter the next response (guards against REFUSED, TWICE and MIXED)") {
                beginnings(response).forEach { extra ->
                    withClue(extra) {
                        val target = ScriptedTarget { number ->
                            answer(200, "done", extra = if (number == 1) extra else "")
                        }
                        GatewayFixture(target).use { gateway ->
                            gateway.caller().call("/non_idempotent/a").status shouldBe 200
                            gateway.caller().apply { id = "r2" }.call("/non_idempotent/a").status shouldBe 200
                        }
                        ranIds(target).shouldNotContainDuplicates()
                    }
                }
            }
        }
    }

    describe("extra bytes that arrive while the connection is idle") {
        it("close the connection before it carries another request (guards against promises that are not true)") {
            beginnings(refusal).forEach { extra ->
                withClue(extra) {
                    val closed = CompletableFuture<Boolean>()
                    val answered = CompletableFuture<Unit>()
                    val target = ScriptedTarget { number ->
                        answer(200, "done")
                        if (number == 1) {
                            answered.get(5, TimeUnit.SECONDS)
                            write(extra)
                            closed.complete(closedWithin(2_000))
                        }
                    }
                    GatewayFixture(target).use { gateway ->
                        gateway.caller().call("/non_idempotent/a").status shouldBe 200
                        answered.complete(Unit)
                        closed.get(5, TimeUnit.SECONDS) shouldBe true
                        gateway.caller().apply { id = "r2" }.call("/non_idempotent/a").status shouldBe 200
                    }
                }
            }
        }
    }

    describe("extra bytes that arrive when the next response is due") {
        it("are not taken for a promise that the next request has not run (guards against REFUSED and TWICE)") {
            beginnings(refusal).forEach { extra ->
                withClue(extra) {
                    val target = ScriptedTarget { number ->
                        answer(200, "done", before = if (number == 2) extra else "")
                    }
                    GatewayFixture(target, timeout = 500.milliseconds).use { gateway ->
                        gateway.caller().call("/non_idempotent/a").status shouldBe 200
                        val next = gateway.caller().apply { id = "r2" }.call("/non_idempotent/a")
                        next.status shouldBeIn listOf(200, 502, 504)
                    }
                    ranIds(target).shouldNotContainDuplicates()
                }
            }
        }

        it("and are a whole refusal without an id do not stand for the next response (guards against REFUSED)") {
            val whole = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
            listOf(refusal, whole).forEach { extra ->
                withClue(extra) {
                    val target = ScriptedTarget { number ->
                        answer(200, "done", before = if (number == 2) extra else "")
                        if (number == 2) close()
                    }
                    GatewayFixture(target).use { gateway ->
                        gateway.caller().call("/non_idempotent/a").status shouldBe 200
                        gateway.caller().apply { id = "r2" }.call("/non_idempotent/a").status shouldBe 502
                    }
                }
            }
        }

        listOf(101 to 0L, 101 to 20L, 600 to 0L).forEach { (status, pause) ->
            it("and break off $pause ms before status $status do not hide it (guards against waits for the deadline)") {
                beginnings(late).filter { pause == 0L || it.length % 10 == 0 }.forEach { extra ->
                    withClue(extra) {
                        val target = lateThenInvalid(status, extra, pause)
                        GatewayFixture(target).use { gateway ->
                            gateway.clock.stop()
                            gateway.caller().call("/non_idempotent/a").status shouldBe 200
                            val next = gateway.caller().apply { id = "r2" }.call("/non_idempotent/a")
                            next.status shouldBe 502
                        }
                        ranIds(target) shouldBe listOf("r1", "r2")
                    }
                }
            }
        }

        it("and break off do not hide a refusal without an id (guards against waits for the deadline)") {
            val target = ScriptedTarget { number ->
                if (number == 2) write(late.dropLast(100) + refusal) else answer(200, "done")
            }
            GatewayFixture(target, ScriptedTarget { answer(200, "other") }).use { gateway ->
                gateway.clock.stop()
                generateSequence(1) { it + 1 }.first {
                    val caller = gateway.caller().apply { id = "r$it" }
                    caller.call("/idempotent/a").status shouldBe 200
                    target.requests.size > 1
                }
            }
        }

        it("do not turn a failure into a success (guards against MIXED)") {
            beginnings(success).forEach { extra ->
                withClue(extra) {
                    val target = ScriptedTarget { number ->
                        if (number == 2) answer(500, "failed", "Signature: f", before = extra) else answer(200, "done")
                    }
                    GatewayFixture(target, timeout = 500.milliseconds).use { gateway ->
                        gateway.caller().call("/non_idempotent/a").status shouldBe 200
                        val next = gateway.caller().apply { id = "r2" }.call("/non_idempotent/a")
                        next.status shouldBeIn listOf(500, 502, 504)
                    }
                }
            }
        }
    }
})
