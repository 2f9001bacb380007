package boragering.daemon

import boragering.core.AnswerPart
import boragering.core.Bytes
import boragering.core.CallerRequest
import boragering.core.EntryName
import boragering.core.Header
import boragering.core.OrganisationName
import boragering.core.Outcome
import boragering.core.Problem
import boragering.core.ProblemKind
import boragering.core.RequestId
import boragering.core.RequestResult
import boragering.core.RequestService
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import io.ktor.server.application.install
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.netty.Netty
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import java.net.Socket
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.seconds

class AnswerWriterTest : DescribeSpec({
    val start = AnswerPart.Start(200, persistentListOf(Header("Content-Type", "text/event-stream")))
    val jsonStart = AnswerPart.Start(200, persistentListOf(Header("Content-Type", "application/json")))
    val failure = Problem(ProblemKind.TARGET_FAILED, 502, "the target broke off", Outcome.UNKNOWN, 1)
    val request =
        CallerRequest(
            id = RequestId("r1"),
            organisation = OrganisationName("o"),
            entry = EntryName("e"),
            method = "POST",
            path = "/",
            headers = persistentListOf(),
            body = Bytes.of(""),
            idempotencyKey = null,
            outputTokens = null,
        )

    suspend fun <T> withServer(service: RequestService, use: suspend (Int) -> T): T {
        val server =
            embeddedServer(Netty, host = "127.0.0.1", port = 0) {
                install(HttpRequestLifecycle) { cancelCallOnClose = true }
                routing { post("/") { AnswerWriter(service).write(call, request) } }
            }.start()
        return try {
            use(server.engine.resolvedConnectors().first().port)
        } finally {
            server.stop(0, 0)
        }
    }

    fun connect(port: Int, connection: String): Socket =
        Socket("127.0.0.1", port).apply {
            val request = "POST / HTTP/1.1\r\nHost: x\r\nConnection: $connection\r\nContent-Length: 0\r\n\r\n"
            soTimeout = READ_TIMEOUT_MILLISECONDS
            getOutputStream().write(request.toByteArray())
            getOutputStream().flush()
        }

    suspend fun readRawAnswer(keepOpen: Boolean, service: RequestService): String =
        withServer(service) { port ->
            connect(port, "keep-alive").use { socket ->
                if (keepOpen) {
                    val bytes = ByteArray(4096)
                    val text = StringBuilder()
                    while (!text.endsWith(LAST_CHUNK)) {
                        val count = socket.getInputStream().read(bytes)
                        if (count < 0) break
                        text.append(bytes.decodeToString(0, count))
                    }
                    text.toString()
                } else {
                    socket.getInputStream().readAllBytes().decodeToString()
                }
            }
        }

    describe("a complete stream") {
        it("ends with the end marker and the last chunk") {
            val answer =
                readRawAnswer(keepOpen = true) { _, receive ->
                    receive(start)
                    receive(AnswerPart.Event("r1", "{}"))
                    RequestResult.Complete
                }
            answer shouldContain "data: {}\n\n"
            answer shouldContain "data: [DONE]\n\n"
            answer shouldEndWith LAST_CHUNK
        }
    }

    describe("an answer that fails after its start") {
        it("has an error event but no end marker and no last chunk when it is an event stream") {
            repeat(FEW_REPETITIONS) {
                val answer =
                    readRawAnswer(keepOpen = false) { _, receive ->
                        receive(start)
                        receive(AnswerPart.Event("r1", "{}"))
                        RequestResult.Failed(failure, started = true)
                    }
                answer shouldContain "event: error\n"
                answer shouldNotContain "[DONE]"
                answer shouldNotContain LAST_CHUNK
            }
        }

        it("has no last chunk and closes the connection when it is a plain body") {
            repeat(FEW_REPETITIONS) {
                val answer =
                    readRawAnswer(keepOpen = false) { _, receive ->
                        receive(jsonStart)
                        receive(AnswerPart.Body(Bytes.of("{\"part\":")))
                        RequestResult.Failed(failure, started = true)
                    }
                answer shouldContain "{\"part\":"
                answer shouldNotContain LAST_CHUNK
            }
        }
    }

    describe("a request that failed before its answer began") {
        it("is answered with the problem even if the connection closes after this request") {
            withServer({ _, _ -> RequestResult.Failed(failure, started = false) }) { port ->
                // Repeated because a server that mistakes the last request of a connection for a disconnect fails only
                // sometimes.
                repeat(REPETITIONS) {
                    val answer = connect(port, "close").use { it.getInputStream().readAllBytes().decodeToString() }
                    answer shouldStartWith "HTTP/1.1 502"
                    answer shouldContain "Retry-After: 1"
                    answer shouldContain "\"outcome\":\"unknown\""
                }
            }
        }
    }

    describe("a caller that disconnects") {
        it("causes the cancellation of its request before the first part is written") {
            val cancelled = AtomicBoolean()
            val entered = CompletableDeferred<Unit>()
            val service =
                RequestService { _, _ ->
                    entered.complete(Unit)
                    try {
                        awaitCancellation()
                    } finally {
                        cancelled.set(true)
                    }
                }
            withServer(service) { port ->
                val socket = connect(port, "keep-alive")
                entered.await()
                socket.close()
                eventually(10.seconds) { cancelled.get() shouldBe true }
            }
        }
    }
})

private const val LAST_CHUNK = "\r\n0\r\n\r\n"
private const val REPETITIONS = 200
private const val READ_TIMEOUT_MILLISECONDS = 10_000
private const val FEW_REPETITIONS = 10
