package boragering.daemon

import boragering.adapters.HttpClients
import boragering.adapters.HttpTargetCalls
import boragering.core.Bytes
import boragering.core.CallerRequest
import boragering.core.EntryName
import boragering.core.OrganisationName
import boragering.core.Outcome
import boragering.core.Problem
import boragering.core.ProblemKind
import boragering.core.RequestId
import boragering.core.RequestResult
import boragering.core.RequestService
import boragering.core.TargetCall
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

class ResetTargetTest : DescribeSpec({
    val calls = HttpTargetCalls(HttpClients.create(), CoroutineScope(Dispatchers.Default))
    val failure = Problem(ProblemKind.TARGET_FAILED, 502, "the target broke off", Outcome.UNKNOWN, 1)
    val request = CallerRequest(
        id = RequestId("r1"),
        organisation = OrganisationName("o"),
        entry = EntryName("e"),
        method = "POST",
        path = "/",
        headers = persistentListOf(),
        body = Bytes.of("u".repeat(UPLOAD_BYTES)),
        idempotencyKey = null,
        outputTokens = null,
    )

    /** Serves requests by the target at [address]. */
    fun service(address: String) = RequestService { served, receive ->
        val call = TargetCall(served.id, address, "POST", "/orders", persistentListOf(), served.body, TIMEOUT)
        calls.send(call, receive).fold({ RequestResult.Failed(failure, started = true) }, { RequestResult.Complete })
    }

    /** What a caller of the daemon reads if the target writes [response] and then resets the upload's connection. */
    suspend fun answer(response: String): String = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { target ->
        thread(isDaemon = true) { target.accept().resetAfter(response) }
        val writer = AnswerWriter(service("127.0.0.1:${target.localPort}"))
        val server = embeddedServer(Netty, host = "127.0.0.1", port = 0) {
            routing { post("/") { writer.write(call, request) } }
        }.start()
        try {
            Socket("127.0.0.1", server.engine.resolvedConnectors().first().port).use(::readAnswer)
        } finally {
            server.stop(0, 0)
        }
    }

    describe("an answer of a target that resets its connection during the upload") {
        listOf(
            "a body without a length" to "HTTP/1.1 200 OK\r\n\r\npart",
            "a body in chunks" to "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        ).forEach { (what, response) ->
            it("looks incomplete to the caller: $what (guards against a part that looks whole)") {
                looksWhole(answer(response)) shouldBe false
            }
        }

        it("has no end marker between two events of a stream (guards against streams that look whole)") {
            val head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
            looksWhole(answer("${head}data: {\"id\":\"r1\"}\n\n")) shouldBe false
        }
    }
})

/** Whether [answer] is a success with its end; the caller may get the failure instead, or an answer that breaks off. */
private fun looksWhole(answer: String): Boolean =
    answer.startsWith("HTTP/1.1 2") && (answer.endsWith("\r\n0\r\n\r\n") || "Content-Length" in answer)

private fun readAnswer(caller: Socket): String {
    caller.soTimeout = READ_TIMEOUT_MILLISECONDS
    val request = "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    caller.getOutputStream().write(request.toByteArray())
    caller.getOutputStream().flush()
    return caller.getInputStream().readAllBytes().decodeToString()
}

/** Reads the head of a request, writes [response], and resets the connection when a part of the body was read. */
private fun Socket.resetAfter(response: String) {
    val head = StringBuilder()
    while (!head.endsWith("\r\n\r\n")) head.append(getInputStream().read().toChar())
    getOutputStream().write(response.toByteArray())
    getOutputStream().flush()
    getInputStream().readNBytes(READ_BYTES)
    setSoLinger(true, 0)
    close()
}

/** More than the buffers of two sockets, so that a part is still unsent. */
private const val UPLOAD_BYTES = 16 shl 20

/** More than what is on its way when a response is written. */
private const val READ_BYTES = 8 shl 20
private const val READ_TIMEOUT_MILLISECONDS = 60_000
private val TIMEOUT = 60.seconds
