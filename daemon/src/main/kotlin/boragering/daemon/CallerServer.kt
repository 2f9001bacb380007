package boragering.daemon

import boragering.core.Bytes
import boragering.core.CallerRequest
import boragering.core.EntryName
import boragering.core.Header
import boragering.core.ProblemKind
import boragering.core.RequestId
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.request.contentLength
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.utils.io.readRemaining
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.io.readByteArray
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull

/** The HTTP API for callers: chat completions and calls of services. */
internal class CallerServer(
    private val authentication: CallerAuthentication,
    private val gate: RequestGate,
    private val writer: AnswerWriter,
    private val requestIds: () -> RequestId,
    private val maximumBodyBytes: Long,
) {
    /** Installs the routes in [application], and the cancellation of requests whose callers disconnect. */
    fun install(application: Application) {
        application.install(HttpRequestLifecycle) { cancelCallOnClose = true }
        application.routing {
            post(COMPLETIONS_PATH) { serve { body -> parseCompletion(body) } }
            route("$SERVICES_PATH/{entry}/{path...}") { handle { serve { parseServiceCall() } } }
            route("{path...}") {
                handle {
                    val detail = "there is no resource ${call.request.path()}"
                    call.respondProblem(refusalProblem(ProblemKind.UNKNOWN_ROUTE, HttpStatusCode.NotFound, detail))
                }
            }
        }
    }

    private suspend fun RoutingContext.serve(parse: RoutingContext.(Bytes) -> ParsedRequest) {
        val id = requestIds()
        call.response.header(REQUEST_ID_HEADER, id.value)
        val refusal = gate.enter()
        if (refusal != null) {
            call.respondProblem(refusal, id)
            return
        }
        try {
            serveAdmitted(id, parse)
        } finally {
            gate.leave()
        }
    }

    private suspend fun RoutingContext.serveAdmitted(id: RequestId, parse: RoutingContext.(Bytes) -> ParsedRequest) {
        val organisation = authentication.organisation(call.request.headers[HttpHeaders.Authorization])
        val body = if (organisation == null) null else call.readBody()
        val parsed = body?.let { parse(it) }
        when {
            organisation == null -> call.respondProblem(UNAUTHENTICATED, id)
            body == null -> call.respondProblem(bodyTooLarge(), id)
            parsed is ParsedRequest.Valid -> {
                val request =
                    CallerRequest(
                        id = id,
                        organisation = organisation,
                        entry = parsed.entry,
                        method = call.request.httpMethod.value,
                        path = parsed.path,
                        headers = call.forwardedHeaders(),
                        body = body,
                        idempotencyKey = call.request.headers[IDEMPOTENCY_KEY_HEADER],
                        outputTokens = parsed.outputTokens,
                    )
                writer.write(call, request)
            }
            parsed is ParsedRequest.Invalid -> {
                val detail = parsed.detail
                call.respondProblem(refusalProblem(ProblemKind.INVALID_REQUEST, HttpStatusCode.BadRequest, detail), id)
            }
        }
    }

    /** Reads the body, or returns `null` when it is larger than [maximumBodyBytes]. */
    private suspend fun ApplicationCall.readBody(): Bytes? {
        if ((request.contentLength() ?: 0) > maximumBodyBytes) return null
        val bytes = receiveChannel().readRemaining(maximumBodyBytes + 1).readByteArray()
        return if (bytes.size > maximumBodyBytes) null else Bytes(bytes)
    }

    private fun parseCompletion(body: Bytes): ParsedRequest {
        val document =
            try {
                Json.parseToJsonElement(body.text()) as? JsonObject
            } catch (_: SerializationException) {
                null
            }
        val model = (document?.get("model") as? JsonPrimitive)?.contentOrNull
        val maxTokens = listOf("max_completion_tokens", "max_tokens").firstNotNullOfOrNull { document?.get(it) }
        val outputTokens = (maxTokens as? JsonPrimitive)?.intOrNull
        return when {
            document == null -> ParsedRequest.Invalid("the body must be a JSON object")
            model == null -> ParsedRequest.Invalid("model must be the name of a catalogue entry")
            maxTokens != null && (outputTokens == null || outputTokens < 1) ->
                ParsedRequest.Invalid("max_tokens must be a whole number of at least 1")
            else -> ParsedRequest.Valid(EntryName(model), COMPLETIONS_PATH, outputTokens)
        }
    }

    private fun RoutingContext.parseServiceCall(): ParsedRequest {
        val entry = call.parameters["entry"].orEmpty()
        val path = call.request.uri.removePrefix("$SERVICES_PATH/$entry")
        return ParsedRequest.Valid(EntryName(entry), path, null)
    }

    private fun ApplicationCall.forwardedHeaders(): PersistentList<Header> =
        FORWARDED_HEADERS.mapNotNull { name -> request.headers[name]?.let { Header(name, it) } }.toPersistentList()

    private fun bodyTooLarge() =
        refusalProblem(
            ProblemKind.INVALID_REQUEST,
            HttpStatusCode.PayloadTooLarge,
            "the body is over the limit of $maximumBodyBytes bytes",
        )

    /** The result of parsing a caller's HTTP request. */
    private sealed interface ParsedRequest {
        data class Valid(val entry: EntryName, val path: String, val outputTokens: Int?) : ParsedRequest

        data class Invalid(val detail: String) : ParsedRequest
    }

    private companion object {
        const val COMPLETIONS_PATH = "/v1/chat/completions"
        const val SERVICES_PATH = "/services"
        const val REQUEST_ID_HEADER = "X-Request-Id"
        const val IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
        val FORWARDED_HEADERS = listOf(HttpHeaders.ContentType, HttpHeaders.Accept, HttpHeaders.AcceptLanguage)
        val UNAUTHENTICATED =
            refusalProblem(
                ProblemKind.INVALID_REQUEST,
                HttpStatusCode.Unauthorized,
                "the Authorization header must carry the bearer token of an organisation in the catalogue",
            )
    }
}
