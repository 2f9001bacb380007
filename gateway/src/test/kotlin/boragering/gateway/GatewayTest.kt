package boragering.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.runBlocking
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlin.time.TimeSource.Monotonic.ValueTimeMark
import kotlin.time.measureTime

/** The beginning of a success for the request r1. */
private const val OWN_HEAD = "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\n"

class GatewayTest : DescribeSpec({
    fun <T> with(fixture: GatewayFixture, action: GatewayFixture.() -> T): T = fixture.use(action)

    describe("a request") {
        it("reaches the target unchanged except for the gateway's headers (guards against modified requests)") {
            ScriptedTarget { answer(200, "done", "Signature: abc") }.use { target ->
                with(GatewayFixture(target)) {
                    val answer = caller().call("/idempotent/a?b=c", "Organisation: other", "X: y", body = "payload")
                    answer.status shouldBe 200
                    answer.body shouldBe "done"
                    answer.header("signature") shouldBe "abc"
                }
                val seen = target.requests.single()
                seen.startLine shouldBe "POST /idempotent/a?b=c HTTP/1.1"
                seen.body shouldBe "payload"
                seen.header("organisation") shouldBe "town"
                seen.header("key").shouldBeNull()
                seen.header("x") shouldBe "y"
                seen.header("instance") shouldBe "i0"
                seen.header("time-left").shouldNotBeNull().toInt() shouldBeLessThanOrEqual 4_000
            }
        }

        listOf(
            "an unknown key is refused with 401" to Triple("/idempotent/a", "wrong", 401),
            "no route is refused with 404" to Triple("/other/a", "secret", 404),
        ).forEach { (what, case) ->
            it("with $what and never runs (guards against unauthorised or unroutable requests that run)") {
                ScriptedTarget { answer(200, "done") }.use { target ->
                    with(GatewayFixture(target)) {
                        val caller = caller()
                        caller.request(case.first, key = case.second)
                        caller.answer()?.status shouldBe case.third
                    }
                    target.requests shouldHaveSize 0
                }
            }
        }

        it("before any configuration is known is refused with 503 (guards against 404 for valid requests)") {
            with(GatewayFixture(configured = false)) { caller().call("/idempotent/a").status shouldBe 503 }
        }

        it("during the startup waits for the configuration (guards against refusals at each restart)") {
            ScriptedTarget { answer(200, "done") }.use { target ->
                with(GatewayFixture(target, configured = false)) {
                    val caller = caller()
                    caller.request("/idempotent/a", "Expect: 100-continue")
                    // The provisional response shows that the gateway has received the request.
                    caller.awaitText("100 Continue\r\n\r\n")
                    clock.advance(300.milliseconds)
                    configure()
                    caller.answer()?.status shouldBe 200
                }
                target.requests.single().header("time-left").shouldNotBeNull().toInt() shouldBeLessThanOrEqual 3_700
            }
        }

        it("with two content lengths never runs (guards against request smuggling)") {
            ScriptedTarget { answer(200, "done") }.use { target ->
                with(GatewayFixture(target)) {
                    val caller = caller()
                    caller.request("/idempotent/a", "Content-Length: 3", "Content-Length: 30", body = "")
                    caller.answer()?.status shouldBe 400
                }
                target.requests shouldHaveSize 0
            }
        }
    }

    describe("a target that refuses") {
        it("is replaced by another one (guards against refusals while targets are free)") {
            val refusing = ScriptedTarget { answer(503, "", "Not-Run: 1") }
            val serving = ScriptedTarget { answer(200, "done") }
            with(GatewayFixture(refusing, serving)) {
                repeat(6) { caller().call("/non_idempotent/a").status shouldBe 200 }
            }
        }

        it("with 421 gets no more requests (guards against requests to groups that have ended)") {
            val ended = ScriptedTarget { answer(421, "") }
            val serving = ScriptedTarget { answer(200, "done") }
            with(GatewayFixture(ended, serving)) {
                repeat(12) { caller().call("/non_idempotent/a").status shouldBe 200 }
            }
            ended.requests.size shouldBeLessThanOrEqual 1
        }

        it("leads to 503 with Retry-After when there is no other (guards against 502 for a request that did not run)") {
            with(GatewayFixture(ScriptedTarget { answer(503, "", "Not-Run: 1") })) {
                val answer = caller().call("/non_idempotent/a")
                answer.status shouldBe 503
                answer.header("retry-after").shouldNotBeNull().toDouble() shouldBeLessThan 1.0
            }
        }
    }

    describe("a target that closes the connection without a response") {
        it("causes no retry of a non-idempotent request (guards against requests that run twice)") {
            val first = ScriptedTarget { close() }
            val second = ScriptedTarget { close() }
            with(GatewayFixture(first, second)) { caller().call("/non_idempotent/a").status shouldBe 502 }
            (first.requests.size + second.requests.size) shouldBe 1
        }

        it("is replaced by another one for an idempotent request (guards against avoidable failures)") {
            val closing = ScriptedTarget { close() }
            val serving = ScriptedTarget { answer(200, "done") }
            with(GatewayFixture(closing, serving)) {
                repeat(4) { caller().call("/idempotent/a").status shouldBe 200 }
            }
        }
    }

    describe("a response") {
        it("to another request is dropped and the right one awaited (guards against mixed-up responses)") {
            val target = ScriptedTarget {
                write("HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 5\r\n\r\nwrong")
                answer(200, "right")
            }
            with(GatewayFixture(target)) { caller().call("/idempotent/a").body shouldBe "right" }
        }

        it("that follows a complete one is not matched to the next request (guards against extra responses)") {
            val target = ScriptedTarget { number ->
                answer(200, "answer$number")
                write(
                    "HTTP/1.1 200 OK\r\nId: ${request.header("id")}\r\nSignature: s\r\nContent-Length: 5\r\n\r\nextra"
                )
            }
            with(GatewayFixture(target)) {
                val caller = caller()
                repeat(5) {
                    caller.id = "r$it"
                    caller.call("/idempotent/a").body shouldBe "answer${it + 1}"
                }
            }
        }

        it("that breaks off is not forwarded as complete (guards against truncated bodies)") {
            val target = ScriptedTarget {
                write("${OWN_HEAD}Content-Length: 50\r\n\r\npart")
                close()
            }
            with(GatewayFixture(target)) { caller().call("/non_idempotent/a").status shouldBe 502 }
        }

        it("without a length that ends with a reset is not complete (guards against truncated bodies)") {
            val target = ScriptedTarget {
                write("$OWN_HEAD\r\npart")
                reset()
            }
            with(GatewayFixture(target)) { caller().call("/non_idempotent/a").status shouldBe 502 }
        }

        it("without a length that ends with its connection is complete (guards against rejected valid responses)") {
            val target = ScriptedTarget {
                write("$OWN_HEAD\r\nwhole")
                close()
            }
            with(GatewayFixture(target)) { caller().call("/non_idempotent/a").body shouldBe "whole" }
        }

        it("with an error keeps its status and signature (guards against modified error responses)") {
            with(GatewayFixture(ScriptedTarget { answer(500, "broken", "Signature: s") })) {
                val answer = caller().call("/idempotent/a")
                answer.status shouldBe 500
                answer.header("signature") shouldBe "s"
                answer.body shouldBe "broken"
            }
        }
    }

    describe("a stream") {
        it("that breaks off resumes at the next event of another target (guards against lost and duplicate events)") {
            val script: Script.(Int) -> Unit = {
                val last = request.header("last-event-id")?.toInt() ?: 0
                beginStream()
                if (last == 0) {
                    event("id: 1\ndata: a\n\n")
                    event("id: 2\ndata: b\n\nid: 3\nda")
                    reset()
                } else {
                    // Repeats an event that the caller has already received.
                    event("id: $last\ndata: again\n\n")
                    event("id: 3\ndata: c\n\n")
                    endStream()
                }
            }
            val targets = List(2) { ScriptedTarget(script) }
            with(GatewayFixture(targets[0], targets[1])) {
                caller().call("/resumable_stream/a").body shouldBe
                    "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
            }
            targets.sumOf { it.requests.size } shouldBe 2
        }

        it("that may not be resumed is aborted (guards against truncated streams that look complete)") {
            val script: Script.(Int) -> Unit = {
                beginStream()
                event("id: 1\ndata: a\n\n")
                reset()
            }
            with(GatewayFixture(ScriptedTarget(script), ScriptedTarget(script))) {
                val caller = caller()
                caller.request("/single_stream/a")
                runCatching { caller.answer() }.isFailure shouldBe true
            }
        }

        it("whose target falls silent resumes at another one (guards against streams that wait for a lost member)") {
            val script: Script.(Int) -> Unit = {
                if (request.header("last-event-id") == null) {
                    beginStream()
                    event("id: 1\ndata: a\n\n")
                    closedWithin(5_000)
                } else {
                    beginStream()
                    event("id: 2\ndata: b\n\n")
                    endStream()
                }
            }
            with(GatewayFixture(ScriptedTarget(script), ScriptedTarget(script))) {
                val time = measureTime {
                    caller().call("/resumable_stream/a").body shouldBe "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
                }
                (time < 3.seconds) shouldBe true
            }
        }
    }

    describe("unlimited data") {
        val padding = "x".repeat(64 * 1024)

        /** A target that runs [begin] and then sends bytes until the gateway closes the connection. */
        fun endlessTarget(begin: Script.() -> Unit) = ScriptedTarget {
            begin()
            while (true) write(padding)
        }

        mapOf<String, Script.() -> Unit>(
            "a status line" to { write("HTTP/1.1 200 ") },
            "a header" to { write("HTTP/1.1 200 OK\r\nX: ") },
            "a body without length" to { write("$OWN_HEAD\r\n") },
            "a chunk size" to { write("${OWN_HEAD}Transfer-Encoding: chunked\r\n\r\n") },
            "a chunk extension" to { write("${OWN_HEAD}Transfer-Encoding: chunked\r\n\r\n1;") },
            "a trailer" to { write("${OWN_HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\nX: ") },
            "an answer to another request" to { write("HTTP/1.1 200 OK\r\nId: other\r\n\r\n") },
        ).forEach { (where, begin) ->
            it("in $where closes the connection and fails the request at once (guards against memory exhaustion)") {
                endlessTarget(begin).use { target ->
                    with(GatewayFixture(target, timeout = 20.seconds)) {
                        val caller = caller()
                        caller.request("/non_idempotent/a", "Time-Left: 20000")
                        caller.answer()?.status shouldBe 502
                    }
                    eventually(5.seconds) { target.failures shouldHaveSize 1 }
                }
            }
        }

        it("in an event closes the connection, and another target resumes (guards against memory exhaustion)") {
            val flooding = endlessTarget {
                beginStream()
                write("fffffff\r\ndata: ")
            }
            val serving = ScriptedTarget {
                beginStream()
                event("id: 1\ndata: a\n\n")
                endStream()
            }
            with(GatewayFixture(flooding, serving)) {
                repeat(3) { caller().call("/resumable_stream/a").body shouldBe "id: 1\ndata: a\n\n" }
            }
        }
    }

    describe("a stream that receives single bytes, but no complete event") {
        it("resumes at another target (guards against streams that wait for a stalled engine)") {
            val stalled = ScriptedTarget {
                beginStream()
                write("fff\r\n")
                while (true) {
                    write(":")
                    if (closedWithin(100)) break
                }
            }
            val serving = ScriptedTarget {
                beginStream()
                event("id: 1\ndata: a\n\n")
                endStream()
            }
            with(GatewayFixture(stalled, serving)) {
                repeat(3) { caller().call("/resumable_stream/a").body shouldBe "id: 1\ndata: a\n\n" }
            }
        }
    }

    describe("a caller that disconnects") {
        it("ends the work at the target within half a second (guards against work without a receiver)") {
            val closed = CompletableFuture<ValueTimeMark>()
            val target = ScriptedTarget {
                beginStream()
                event("id: 1\ndata: a\n\n")
                if (closedWithin(5_000)) closed.complete(TimeSource.Monotonic.markNow())
            }
            with(GatewayFixture(target)) {
                val caller = caller()
                caller.request("/resumable_stream/a")
                caller.awaitText("data: a")
                val left = TimeSource.Monotonic.markNow()
                caller.close()
                closed.get(5, TimeUnit.SECONDS) - left shouldBeLessThan 500.milliseconds
            }
        }
    }

    describe("a gateway that drains") {
        it("serves requests that arrive meanwhile and none afterwards (guards against requests lost at the stop)") {
            with(GatewayFixture(ScriptedTarget { answer(200, "done") })) {
                val drained = CompletableFuture.runAsync { runBlocking { gateway.drain(6.seconds) } }
                while (gateway.ready) Thread.onSpinWait()
                caller().call("/idempotent/a").status shouldBe 200
                drained.get(6, TimeUnit.SECONDS)
                runCatching { caller().call("/idempotent/a") }.isFailure shouldBe true
            }
        }
    }

    describe("a route's timeout") {
        it("ends a request that was sent with 504 (guards against a 503 for a request that may have run)") {
            val target = ScriptedTarget { closedWithin(5_000) }
            with(GatewayFixture(target, timeout = 600.milliseconds)) {
                clock.stop()
                val caller = caller()
                caller.request("/non_idempotent/a")
                while (target.requests.isEmpty()) Thread.onSpinWait()
                val time = measureTime {
                    clock.advance(600.milliseconds)
                    caller.answer()?.status shouldBe 504
                }
                (time < 500.milliseconds) shouldBe true
            }
        }
    }
})
