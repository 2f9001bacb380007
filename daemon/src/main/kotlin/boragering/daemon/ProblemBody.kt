package boragering.daemon

import boragering.core.Outcome
import boragering.core.Problem
import boragering.core.ProblemKind
import boragering.core.RequestId
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The JSON document of type `application/problem+json` in which callers receive a problem. */
@Serializable
internal data class ProblemBody(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val outcome: String,
    @SerialName("request_id") val requestId: String?,
    @SerialName("retry_after_seconds") val retryAfterSeconds: Int? = null,
)

private val json = Json { explicitNulls = false }

/** Encodes the problem as the JSON text of a [ProblemBody]. */
internal fun Problem.toJson(request: RequestId?): String =
    json.encodeToString(
        ProblemBody(
            type = "urn:boragering:problem:${kind.wireName}",
            title = kind.wireName.replace('-', ' '),
            status = status,
            detail = detail,
            outcome = outcome.wireName,
            requestId = request?.value,
            retryAfterSeconds = retryAfterSeconds,
        ),
    )

/** Responds with [problem], its status and, if it has a retry delay, a `Retry-After` header. */
internal suspend fun ApplicationCall.respondProblem(problem: Problem, request: RequestId? = null) {
    problem.retryAfterSeconds?.let { response.header(HttpHeaders.RetryAfter, it.toString()) }
    respondText(
        text = problem.toJson(request),
        contentType = ContentType.parse("application/problem+json"),
        status = HttpStatusCode.fromValue(problem.status),
    )
}

/** Creates the problem for a request that was refused before any part of it was executed. */
internal fun refusalProblem(
    kind: ProblemKind,
    status: HttpStatusCode,
    detail: String,
    retryAfterSeconds: Int? = null,
): Problem = Problem(kind, status.value, detail, Outcome.NOT_RUN, retryAfterSeconds)
