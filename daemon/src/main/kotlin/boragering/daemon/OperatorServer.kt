package boragering.daemon

import boragering.core.GroupId
import boragering.core.InstanceId
import boragering.core.RequestId
import boragering.core.catalogue.ApplyRequest
import boragering.core.catalogue.ApplyResult
import boragering.core.timeline.TimelineBuffer
import boragering.core.timeline.TimelineQuery
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.request.contentLength
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.respondText
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The HTTP API for operators, with the platform's liveness and readiness checks and the metrics. */
internal class OperatorServer(
    private val service: OperatorService,
    private val authentication: OperatorAuthentication,
    private val metrics: () -> String,
) {
    private val json = Json { encodeDefaults = true }

    /** Installs the routes in [application]. */
    fun install(application: Application) {
        application.routing {
            get("/live") { call.respondText("live\n") }
            get("/ready") { respondReady() }
            get("/metrics") { call.respondText(metrics(), METRICS_TYPE) }
            get("/operator/status") { authorised { respondJson(service.status()) } }
            get("/operator/groups") { authorised { respondJson(service.groups()) } }
            get("/operator/peers") { authorised { respondJson(service.peers()) } }
            get("/operator/timeline") { authorised { respondTimeline() } }
            get(
                "/operator/requests/{id}"
            ) { authorised { respondJson(service.request(RequestId(call.parameters["id"].orEmpty()))) } }
            get("/operator/catalogue") { authorised { respondJson(service.catalogue()) } }
            get("/operator/catalogue/history") { authorised { respondHistory() } }
            post("/operator/catalogue") { authorised { handleApply() } }
        }
    }

    private suspend fun RoutingContext.authorised(handle: suspend RoutingContext.() -> Unit) {
        if (authentication.accepts(call.request.headers[HttpHeaders.Authorization])) {
            handle()
        } else {
            respondError(HttpStatusCode.Unauthorized, "the Authorization header must carry the operators' bearer token")
        }
    }

    private suspend fun RoutingContext.respondReady() {
        val ready = service.status().ready
        val status = if (ready) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
        call.respondText(if (ready) "ready\n" else "not ready\n", status = status)
    }

    private suspend fun RoutingContext.respondTimeline() {
        val parameters = call.request.queryParameters
        val numbers = listOf("since", "limit").mapNotNull { parameters[it] }.map { it.toLongOrNull() }
        if (numbers.any { it == null || it < 0 }) {
            respondError(
                HttpStatusCode.BadRequest,
                "since must be milliseconds since the Unix epoch, limit a number of events",
            )
            return
        }
        val query =
            TimelineQuery(
                group = parameters["group"]?.let { GroupId(it) },
                instance = parameters["instance"]?.let { InstanceId(it) },
                request = parameters["request"]?.let { RequestId(it) },
                sinceMilliseconds = parameters["since"]?.toLong(),
                limit = parameters["limit"]?.toIntOrNull() ?: TimelineBuffer.CAPACITY,
            )
        respondJson(service.timeline(query))
    }

    private suspend fun RoutingContext.respondHistory() {
        val history = service.history()
        if (history == null) {
            respondError(HttpStatusCode.ServiceUnavailable, "the store cannot be read")
        } else {
            respondJson(history)
        }
    }

    private suspend fun RoutingContext.handleApply() {
        val request = readApplyRequest()
        if (request == null) {
            respondError(
                HttpStatusCode.BadRequest,
                "the body must be an apply request of at most $MAXIMUM_BODY_BYTES bytes",
            )
            return
        }
        val result = service.apply(request)
        val status =
            when (result.result) {
                ApplyResult.ACCEPTED -> HttpStatusCode.OK
                ApplyResult.CONFLICT -> HttpStatusCode.Conflict
                ApplyResult.INVALID -> HttpStatusCode.UnprocessableEntity
                ApplyResult.UNAVAILABLE, ApplyResult.UNKNOWN -> HttpStatusCode.ServiceUnavailable
            }
        respondJson(result, status)
    }

    private suspend fun RoutingContext.readApplyRequest(): ApplyRequest? {
        if ((call.request.contentLength() ?: 0) > MAXIMUM_BODY_BYTES) return null
        val bytes = call.receiveChannel().readRemaining(MAXIMUM_BODY_BYTES + 1).readByteArray()
        return try {
            bytes.takeIf { it.size <= MAXIMUM_BODY_BYTES }?.let { json.decodeFromString(it.decodeToString()) }
        } catch (_: SerializationException) {
            null
        }
    }

    private suspend inline fun <reified T> RoutingContext.respondJson(
        value: T,
        status: HttpStatusCode = HttpStatusCode.OK,
    ) = call.respondText(json.encodeToString(value), ContentType.Application.Json, status)

    private suspend fun RoutingContext.respondError(status: HttpStatusCode, detail: String) =
        respondJson(Failure(detail), status)

    /** The body of an error answer. */
    @Serializable
    private data class Failure(val detail: String)

    private companion object {
        const val MAXIMUM_BODY_BYTES = 8L * 1024 * 1024
        val METRICS_TYPE = ContentType.parse("text/plain; version=0.0.4; charset=utf-8")
    }
}
