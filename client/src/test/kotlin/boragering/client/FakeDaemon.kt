package boragering.client

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.util.concurrent.CopyOnWriteArrayList

/** What a daemon of the tests answers; without a [body] it never answers. */
internal data class Reply(val body: String?, val status: Int = 200)

/** A request as a daemon of the tests received it. */
internal data class Received(val method: String, val path: String, val query: Map<String, String>, val body: String)

/** A daemon's operator port with canned answers, which requires the token `secret`. */
internal class FakeDaemon(private val answer: (Received) -> Reply) : AutoCloseable {
    val received = CopyOnWriteArrayList<Received>()
    private val server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration> =
        embeddedServer(CIO, port = 0, host = "127.0.0.1") {
            routing {
                get("{...}") { handle(call) }
                post("{...}") { handle(call) }
            }
        }.start(wait = false)

    val address: String = runBlocking { "127.0.0.1:${server.engine.resolvedConnectors().first().port}" }

    override fun close() = server.stop(0, 0)

    private suspend fun handle(call: ApplicationCall) {
        val query = call.request.queryParameters.entries().associate { it.key to it.value.first() }
        val request = Received(call.request.httpMethod.value, call.request.path(), query, call.receiveText())
        received += request
        val authorised = call.request.header("Authorization") == "Bearer secret"
        val reply = if (authorised) answer(request) else Reply("{}", HttpStatusCode.Unauthorized.value)
        if (reply.body == null) awaitCancellation()
        call.respondText(reply.body, ContentType.Application.Json, HttpStatusCode.fromValue(reply.status))
    }
}

/** The outcome of one run of the program. */
internal data class Run(val exitCode: ExitCode, val out: String, val err: String)

internal fun boragerctl(vararg arguments: String, token: String = "secret"): Run {
    val (out, err) = ByteArrayOutputStream() to ByteArrayOutputStream()
    val environment = mapOf("BORAGERING_OPERATOR_TOKEN" to token)
    val console = Console(PrintStream(out, true), PrintStream(err, true), environment) { NOW }
    val exitCode = runBlocking { Program(console).run(arguments.toList()) }
    return Run(exitCode, out.toString(), err.toString())
}

/** The wall clock of the tests. */
internal const val NOW = 1_800_000_000_000
