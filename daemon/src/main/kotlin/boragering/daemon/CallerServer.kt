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

/** The HTTP interface for callers. */
internal class CallerServer(
    private val authentication: CallerAuthentication,
    private val gate: RequestGate,
    private val writer: AnswerWriter,
    private val requestIds: () -> RequestId,
    private val maximumBodyBytes: Long,
) {
    /** Installs the routes. */
    fun install(application: Application) {
        application.install(HttpRequestLifecycle) { cancelCallOnClose = true }
        application.routing {
            post(COMPLETIONS_PATH) { serve { body -> completion(body) } }
            route("$SERVICES_PATH/{entry}/{path...}") { handle { serve { serviceCall() } } }
            route("{path...}") {
                handle {
                    val detail = "there is no resource ${call.request.path()}"
                    call.respondProblem(refused(ProblemKind.UNKNOWN_ROUTE, HttpStatusCode.NotFound, detail))
                }
            }
        }
    }

    private suspend fun RoutingContext.serve(describe: RoutingContext.(Bytes) -> Description) {
        val id = requestIds()
        call.response.header(REQUEST_ID_HEADER, id.value)
        val refusal = gate.enter()
        if (refusal != null) {
            call.respondProblem(refusal, id)
            return
        }
        try {
            serveAdmitted(id, describe)
        } finally {
            gate.leave()
        }
    }

    private suspend fun RoutingContext.serveAdmitted(id: RequestId, describe: RoutingContext.(Bytes) -> Description) {
        val organisation = authentication.organisation(call.request.headers[HttpHeaders.Authorization])
        val body = if (organisation == null) null else call.readBody()
        val description = body?.let { describe(it) }
        when {
            organisation == null -> call.respondProblem(UNAUTHENTICATED, id)
            body == null -> call.respondProblem(tooLarge(), id)
            description is Description.Call -> {
                val request =
                    CallerRequest(
                        id = id,
                        organisation = organisation,
                        entry = description.entry,
                        method = call.request.httpMethod.value,
                        path = description.path,
                        headers = call.passedHeaders(),
                        body = body,
                        idempotencyKey = call.request.headers[IDEMPOTENCY_KEY_HEADER],
                        outputTokens = description.outputTokens,
                    )
                writer.write(call, request)
            }
            description is Description.Invalid -> {
                val detail = description.detail
                call.respondProblem(refused(ProblemKind.INVALID_REQUEST, HttpStatusCode.BadRequest, detail), id)
            }
        }
    }

    /** Reads the body; `null` when it is over the limit. */
    private suspend fun ApplicationCall.readBody(): Bytes? {
        if ((request.contentLength() ?: 0) > maximumBodyBytes) return null
        val bytes = receiveChannel().readRemaining(maximumBodyBytes + 1).readByteArray()
        return if (bytes.size > maximumBodyBytes) null else Bytes(bytes)
    }

    private fun completion(body: Bytes): Description {
        val document =
            try {
                Json.parseToJsonElement(body.text()) as? JsonObject
            } catch (_: SerializationException) {
                null
            }
        val model = (document?.get("model") as? JsonPrimitive)?.contentOrNull
        val tokens = listOf("max_completion_tokens", "max_tokens").firstNotNullOfOrNull { document?.get(it) }
        val outputTokens = (tokens as? JsonPrimitive)?.intOrNull
        return when {
            document == null -> Description.Invalid("the body must be a JSON object")
            model == null -> Description.Invalid("model must be the name of a catalogue entry")
            tokens != null && (outputTokens == null || outputTokens < 1) ->
                Description.Invalid("max_tokens must be a whole number of at least 1")
            else -> Description.Call(EntryName(model), COMPLETIONS_PATH, outputTokens)
        }
    }

    private fun RoutingContext.serviceCall(): Description {
        val entry = call.parameters["entry"].orEmpty()
        val path = call.request.uri.removePrefix("$SERVICES_PATH/$entry")
        return Description.Call(EntryName(entry), path, null)
    }

    private fun ApplicationCall.passedHeaders(): PersistentList<Header> =
        PASSED_HEADERS.mapNotNull { name -> request.headers[name]?.let { Header(name, it) } }.toPersistentList()

    private fun tooLarge() =
        refused(
            ProblemKind.INVALID_REQUEST,
            HttpStatusCode.PayloadTooLarge,
            "the body is over the limit of $maximumBodyBytes bytes",
        )

    /** What a caller's HTTP request asks for. */
    private sealed interface Description {
        data class Call(val entry: EntryName, val path: String, val outputTokens: Int?) : Description

        data class Invalid(val detail: String) : Description
    }

    private companion object {
        const val COMPLETIONS_PATH = "/v1/chat/completions"
        const val SERVICES_PATH = "/services"
        const val REQUEST_ID_HEADER = "X-Request-Id"
        const val IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
        val PASSED_HEADERS = listOf(HttpHeaders.ContentType, HttpHeaders.Accept, HttpHeaders.AcceptLanguage)
        val UNAUTHENTICATED =
            refused(
                ProblemKind.INVALID_REQUEST,
                HttpStatusCode.Unauthorized,
                "the Authorization header must carry the bearer token of an organisation in the catalogue",
            )
    }
}
