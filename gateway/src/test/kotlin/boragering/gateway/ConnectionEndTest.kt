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

    fun Script.writeHead(vararg headers: String) = write(
        (listOf("HTTP/1.1 200 OK", "Id: ${request.header("id")}", "Signature: s") + headers).joinToString("\r\n") +
            "\r\n\r\n"
    )

    /** The gateway has read what was written before, since its event loop reads and writes alternately. */
    fun Script.untilRead() = readUpload(READ_BYTES)

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

    describe("an answer to an upload that is still being written") {
        it("without a length is not complete after a reset (guards against a part that looks whole)") {
            val gateway = uploading {
                writeHead()
                write("part")
                untilRead()
                reset()
            }
            gateway.use { it.caller().call("/non_idempotent/a", body = upload).status shouldBe 502 }
        }

        it("breaks off between two events after a reset (guards against streams that look whole)") {
            val gateway = uploading {
                writeHead("Content-Type: text/event-stream")
                write("id: 1\ndata: a\n\n")
                untilRead()
                reset()
            }
            gateway.use {
                val caller = it.caller()
                caller.request("/single_stream/a", body = upload)
                runCatching { caller.answer() }.isFailure shouldBe true
            }
        }

        it("with a length is not complete after a reset (guards against truncated bodies)") {
            val gateway = uploading {
                writeHead("Content-Length: 50")
                write("part")
                untilRead()
                reset()
            }
            gateway.use { it.caller().call("/non_idempotent/a", body = upload).status shouldBe 502 }
        }

        it("has no head after a reset (guards against an answer that nobody gave)") {
            val gateway = uploading {
                untilRead()
                reset()
            }
            gateway.use { it.caller().call("/non_idempotent/a", body = upload).status shouldBe 502 }
        }

        it("with a length is whole before a reset (guards against answers that are lost)") {
            val gateway = uploading {
                writeHead("Content-Length: 5")
                write("whole")
                untilRead()
                reset()
            }
            gateway.use { it.caller().call("/non_idempotent/a", body = upload).body shouldBe "whole" }
        }

        ends.forEach { ending ->
            it("without a length is whole before ${ending.name} (guards against answers that are lost)") {
                val gateway = uploading {
                    writeHead()
                    write("whole")
                    ending.end(this)
                }
                gateway.use { it.caller().call("/non_idempotent/a", body = upload).body shouldBe "whole" }
            }

            it("that is a stream is whole before ${ending.name} (guards against streams that are lost)") {
                val gateway = uploading {
                    writeHead("Content-Type: text/event-stream")
                    write("id: 1\ndata: a\n\n")
                    ending.end(this)
                }
                gateway.use {
                    it.caller().call("/single_stream/a", body = upload).body shouldBe "id: 1\ndata: a\n\n"
                }
            }
        }

        it("is whole at once, though the target reads the rest (guards against answers that wait for uploads)") {
            val gateway = uploading {
                writeHead("Content-Length: 5")
                write("whole")
                readUpload(UPLOAD_BYTES)
            }
            gateway.use { it.caller().call("/non_idempotent/a", body = upload).body shouldBe "whole" }
        }
    }

    describe("a call of the gateway itself") {
        it("fails if its answer is cut while the call is being written (guards against a store's partial documents)") {
            val server = ScriptedTarget {
                write("HTTP/1.1 200 OK\r\n\r\npart")
                untilRead()
                reset()
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

/** More than the buffers of two sockets, so that a part is still unsent. */
private const val UPLOAD_BYTES = 16 shl 20

/** More than what is on its way when an answer is written. */
private const val READ_BYTES = 8 shl 20
