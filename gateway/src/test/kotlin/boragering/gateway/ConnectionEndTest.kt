package boragering.gateway

import boragering.adapters.SystemClock
import boragering.fleet.CallerLimits
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlin.time.Duration.Companion.seconds

/** How a target ends its connection. */
private class ConnectionEnding(val name: String, val end: Script.() -> Unit)

class ConnectionEndTest : DescribeSpec({
    val limits = CallerLimits(8_192, UPLOAD_BYTES, 5.seconds, 10.seconds)
    val upload = "u".repeat(UPLOAD_BYTES)

    /** The targets are sent the [upload], and run [script] when they have read the head of the request. */
    fun uploading(script: Script.(Int) -> Unit): GatewayFixture {
        val targets = List(2) { ScriptedTarget(script).apply { readsBodies = false } }
        return GatewayFixture(*targets.toTypedArray(), limits = limits)
    }

    fun Script.answer(text: String, vararg headers: String) {
        val head = listOf("HTTP/1.1 200 OK", "Id: ${request.header("id")}", "Signature: s") + headers
        write(head.joinToString("\r\n") + "\r\n\r\n" + text)
    }

    /** The gateway has read what was written before, since its event loop reads and writes alternately. */
    fun Script.untilRead() = readUpload(READ_BYTES)

    fun Script.resetWhenRead() {
        untilRead()
        reset()
    }

    val ends = listOf(
        ConnectionEnding("an end, while the target reads on") {
            finish()
            untilRead()
        },
        ConnectionEnding("an end, and then a reset") {
            finish()
            reset()
        },
    )

    describe("an answer to an upload that is still being written, before a reset") {
        fun callStatus(script: Script.(Int) -> Unit): Int = uploading(script).use { gateway ->
            gateway.caller().call("/non_idempotent/a", body = upload).status
        }

        it("is not complete without a length (guards against a part that looks whole)") {
            callStatus {
                answer("part")
                resetWhenRead()
            } shouldBe 502
        }

        it("breaks off between two events (guards against streams that look whole)") {
            val gateway = uploading {
                answer("id: 1\ndata: a\n\n", STREAM)
                resetWhenRead()
            }
            gateway.use {
                val caller = it.caller()
                caller.request("/single_stream/a", body = upload)
                runCatching { caller.answer() }.isFailure shouldBe true
            }
        }

        it("is not complete with a part of its length (guards against truncated bodies)") {
            callStatus {
                answer("part", "Content-Length: 50")
                resetWhenRead()
            } shouldBe 502
        }

        it("is a failure without a head (guards against an answer that nobody gave)") {
            callStatus { resetWhenRead() } shouldBe 502
        }

        it("is whole with all of its length (guards against answers that are lost)") {
            callStatus {
                answer("whole", "Content-Length: 5")
                resetWhenRead()
            } shouldBe 200
        }
    }

    describe("an answer to an upload that is still being written") {
        fun callBody(path: String, script: Script.(Int) -> Unit): String = uploading(script).use { gateway ->
            gateway.caller().call(path, body = upload).body
        }

        ends.forEach { ending ->
            it("without a length is whole before ${ending.name} (guards against answers that are lost)") {
                callBody("/non_idempotent/a") {
                    answer("whole")
                    ending.end(this)
                } shouldBe "whole"
            }

            it("that is a stream is whole before ${ending.name} (guards against streams that are lost)") {
                callBody("/single_stream/a") {
                    answer("id: 1\ndata: a\n\n", STREAM)
                    ending.end(this)
                } shouldBe "id: 1\ndata: a\n\n"
            }
        }

        it("is whole at once, though the target reads the rest (guards against answers that wait for uploads)") {
            callBody("/non_idempotent/a") {
                answer("whole", "Content-Length: 5")
                readUpload(UPLOAD_BYTES)
            } shouldBe "whole"
        }
    }

    describe("a call of the gateway itself") {
        it("fails if its answer is cut while the call is being written (guards against a store's partial documents)") {
            val server = ScriptedTarget {
                write("HTTP/1.1 200 OK\r\n\r\npart")
                resetWhenRead()
            }
            server.readsBodies = false
            GatewayLoop(SystemClock).use { loop ->
                val client = HttpCallClient(loop, 1.seconds)
                val answer = client.send(server.address, HttpCall("PUT", "/", upload), 5.seconds)
                answer.leftOrNull() shouldNotBe null
            }
        }
    }
})

private const val STREAM = "Content-Type: text/event-stream"

/** More than the buffers of two sockets, so that a part is still unsent. */
private const val UPLOAD_BYTES = 16 shl 20

/** More than what is on its way when an answer is written. */
private const val READ_BYTES = 8 shl 20
