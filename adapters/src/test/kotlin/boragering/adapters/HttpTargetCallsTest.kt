package boragering.adapters

import arrow.core.Either
import boragering.core.AnswerPart
import boragering.core.Bytes
import boragering.core.RequestId
import boragering.core.TargetCall
import boragering.core.TargetFailure
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlin.time.Duration.Companion.seconds

class HttpTargetCallsTest : DescribeSpec({
    val calls = HttpTargetCalls(HttpClients.create(), CoroutineScope(Dispatchers.Default))

    suspend fun send(
        address: String,
        path: String,
        parts: MutableList<AnswerPart>,
        body: String = "{}",
    ): Either<TargetFailure, Unit> {
        val call = TargetCall(RequestId("r1"), address, "POST", path, persistentListOf(), Bytes.of(body), TIMEOUT)
        return calls.send(call) { parts += it }
    }

    suspend fun sendAndCollect(answer: String, path: String): Pair<Either<TargetFailure, Unit>, List<AnswerPart>> {
        val parts = mutableListOf<AnswerPart>()
        return FixedResponseServer(answer).use { send(it.address, path, parts) } to parts
    }

    describe("an event stream") {
        val head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"

        it("is complete when the end marker was received") {
            val (result, parts) =
                sendAndCollect("${head}data: {\"id\":\"r1\"}\n\ndata: [DONE]\n\n", "/v1/chat/completions")
            result shouldBe Either.Right(Unit)
            parts.drop(1) shouldContainExactly listOf(AnswerPart.Event("r1", "{\"id\":\"r1\"}"))
        }

        it("is broken when the connection ends before the end marker") {
            val (result, _) = sendAndCollect("${head}data: {\"id\":\"r1\"}\n\n", "/v1/chat/completions")
            result.leftOrNull().shouldBeInstanceOf<TargetFailure.Broken>()
        }
    }

    it("breaks off an event with lines without end (guards against lines that exhaust the heap)") {
        val line = "data: ${"x".repeat(1_000)}\n"
        val head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        val (result, parts) = sendAndCollect("$head${line.repeat(5_000)}\ndata: [DONE]\n\n", "/v1/chat/completions")
        result.leftOrNull().shouldBeInstanceOf<TargetFailure.Broken>()
        parts.filterIsInstance<AnswerPart.Event>() shouldBe emptyList()
    }

    describe("a response whose status is no final HTTP status") {
        listOf("000", "099", "101", "600", "999").forEach { status ->
            it("is broken, and nothing of it is received: $status (guards against answers that are none)") {
                val (result, parts) = sendAndCollect("HTTP/1.1 $status X\r\nContent-Length: 2\r\n\r\nno", "/orders")
                result.leftOrNull().shouldBeInstanceOf<TargetFailure.Broken>()
                parts shouldBe emptyList()
            }
        }
    }

    describe("a body with a declared length") {
        it("is complete when the declared length was received") {
            val (result, parts) = sendAndCollect("HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok", "/orders")
            result shouldBe Either.Right(Unit)
            parts.drop(1) shouldContainExactly listOf(AnswerPart.Body(Bytes.of("ok")))
        }

        it("is broken when the connection ends before the declared length") {
            val (result, _) = sendAndCollect("HTTP/1.1 201 Created\r\nContent-Length: 20\r\n\r\nok", "/orders")
            result.leftOrNull().shouldBeInstanceOf<TargetFailure.Broken>()
        }
    }

    describe("a chunked body") {
        val head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

        it("is complete when the last chunk was received") {
            sendAndCollect("${head}2\r\nok\r\n0\r\n\r\n", "/orders").first shouldBe Either.Right(Unit)
        }

        it("is broken when the connection ends before its last chunk") {
            // Repeated because an HTTP engine that reports the end and the failure concurrently passes only sometimes.
            repeat(REPETITIONS) {
                val (result, _) = sendAndCollect("${head}2\r\nok\r\n", "/orders")
                result.leftOrNull().shouldBeInstanceOf<TargetFailure.Broken>()
            }
        }
    }

    describe("a response to a long request whose connection is reset while the request is being written") {
        val upload = "u".repeat(ResettingServer.UPLOAD_BYTES)
        val stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        listOf(
            "before the head" to "",
            "in a body without a length" to "HTTP/1.1 200 OK\r\n\r\npart",
            "in a body with a length" to "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\npart",
            "between two chunks" to "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
            "between two events" to "$stream\r\ndata: {\"id\":\"r1\"}\n\n",
            "between two events in chunks" to
                "${stream}Transfer-Encoding: chunked\r\n\r\n15\r\ndata: {\"id\":\"r1\"}\n\n\r\n",
        ).forEach { (where, response) ->
            it("is broken: $where (guards against a part that looks whole)") {
                val result = ResettingServer(response).use { send(it.address, "/orders", mutableListOf(), upload) }
                result.leftOrNull().shouldBeInstanceOf<TargetFailure.Broken>()
            }
        }
    }

    it("treats a body without declared length or chunked encoding as broken, because truncation would go unnoticed") {
        val (result, _) = sendAndCollect("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", "/orders")
        result.leftOrNull().shouldBeInstanceOf<TargetFailure.Broken>()
    }

    it("reports that the request was not sent when the connection is refused") {
        val address = "127.0.0.1:${FreePorts.next()}"
        send(address, "/orders", mutableListOf()).leftOrNull().shouldBeInstanceOf<TargetFailure.NotSent>()
    }

    it("reports a refusal only for responses with the header Boragering-Not-Run") {
        val refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
        val (marked, _) = sendAndCollect("${refusal}Boragering-Not-Run: true\r\n\r\n", "/orders")
        marked.leftOrNull() shouldBe TargetFailure.Refused("x", 503).copy(reason = marked.leftOrNull()!!.reason)
        val (unmarked, parts) = sendAndCollect("$refusal\r\n", "/orders")
        unmarked shouldBe Either.Right(Unit)
        parts.first().shouldBeInstanceOf<AnswerPart.Start>().status shouldBe 503
    }

    it("does not retry a request whose connection was closed without a response") {
        FixedResponseServer("").use { server ->
            val result = send(server.address, "/orders", mutableListOf())
            result.leftOrNull().shouldBeInstanceOf<TargetFailure.Broken>()
            server.requestLines shouldContainExactly listOf("POST /orders HTTP/1.1")
        }
    }
})

private const val REPETITIONS = 200

/** Long, because no test is about time, and the first call loads the HTTP client, which may take seconds. */
private val TIMEOUT = 60.seconds
