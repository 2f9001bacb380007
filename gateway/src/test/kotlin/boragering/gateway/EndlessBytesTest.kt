package boragering.gateway

import boragering.adapters.SystemClock
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.io.IOException
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.seconds

/** A beginning after which a faulty server writes [repeated] without end. */
private class EndlessBytes(val name: String, val beginning: (String) -> String, val repeated: String)

class EndlessBytesTest : DescribeSpec({
    fun head(id: String) = "HTTP/1.1 200 OK\r\nId: $id\r\nSignature: s\r\n"

    fun chunked(id: String) = "${head(id)}Transfer-Encoding: chunked\r\n\r\n"

    val heads = listOf(
        EndlessBytes("before the status line", { "" }, "\r\n"),
        EndlessBytes("in the status line", { "HTTP/1.1 200 " }, "x"),
        EndlessBytes("in a header", { "${head(it)}More: " }, "x"),
        EndlessBytes("as headers", ::head, "More: x\r\n"),
        EndlessBytes("as provisional responses", { "" }, "HTTP/1.1 100 Continue\r\n\r\n"),
        EndlessBytes("in a chunk's size", ::chunked, "0"),
        EndlessBytes("in a chunk's extension", { "${chunked(it)}1;" }, "x"),
        EndlessBytes("as trailers", { "${chunked(it)}0\r\n" }, "More: x\r\n"),
    )
    val bodies = listOf(
        EndlessBytes("as chunks", ::chunked, "4\r\nxxxx\r\n"),
        EndlessBytes("as a body without a length", { "${head(it)}\r\n" }, "x"),
        EndlessBytes("as a body of a failure", { "HTTP/1.1 500 X\r\nId: $it\r\n\r\n" }, "x"),
        EndlessBytes("as a body of a false length", { "${head(it)}Content-Length: 99999999999\r\n\r\n" }, "x"),
    )

    /** Writes [bytes] until the gateway closes the connection, and counts what it took in [written]. */
    fun Script.writeWithoutEnd(bytes: EndlessBytes, written: AtomicLong) {
        val block = bytes.repeated.repeat(BLOCK_BYTES / bytes.repeated.length)
        try {
            write(bytes.beginning(request.header("id").orEmpty()))
            while (written.get() < GIVEN_UP_BYTES) {
                write(block)
                written.addAndGet(block.length.toLong())
            }
        } catch (_: IOException) {
            close()
        }
    }

    describe("a target that sends bytes without end") {
        (heads + bodies).forEach { bytes ->
            listOf("/idempotent/a", "/single_stream/a").forEach { path ->
                it("${bytes.name} fails one request only, at $path (guards against an exhausted heap)") {
                    val written = AtomicLong()
                    val target = ScriptedTarget { if (it == 1) writeWithoutEnd(bytes, written) else answer(200, "b") }
                    GatewayFixture(target).use { gateway ->
                        val answer = runCatching { gateway.caller().call(path) }.getOrNull()
                        (answer == null || answer.status >= 500 || written.get() == 0L).shouldBeTrue()
                        gateway.caller().call("/non_idempotent/a").body shouldBe "b"
                        written.get() shouldBeLessThan MAX_RESPONSE_BYTES
                    }
                }
            }
        }
    }

    describe("a server of the gateway's own calls that sends bytes without end") {
        (heads + bodies).forEach { bytes ->
            it("${bytes.name} fails that call only (guards against an exhausted heap)") {
                val written = AtomicLong()
                ScriptedTarget { if (it == 1) writeWithoutEnd(bytes, written) else answer(200, "b") }.use { server ->
                    GatewayLoop(SystemClock).use { loop ->
                        val calls = HttpCallClient(loop, connectTimeout = 1.seconds)
                        calls.send(server.address, HttpCall("GET", "/report"), 2.seconds).isLeft() shouldBe true
                        calls.send(server.address, HttpCall("GET", "/report"), 2.seconds).getOrNull()?.body shouldBe "b"
                        written.get() shouldBeLessThan MAX_OWN_CALL_BYTES
                    }
                }
            }
        }
    }
})

private const val BLOCK_BYTES = 1_800

/** What a server can write before it is sure that the gateway takes everything. */
private const val GIVEN_UP_BYTES = 512L shl 20

/** More than a gateway keeps of one response and the sockets hold. */
private const val MAX_RESPONSE_BYTES = 24L shl 20

/** The same for one of the gateway's own calls. */
private const val MAX_OWN_CALL_BYTES = 8L shl 20
