package boragering.adapters

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import boragering.core.InstanceClient
import boragering.core.InstanceReport
import boragering.core.Order
import boragering.core.TargetFailure
import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlin.time.Duration.Companion.milliseconds

/** Reads reports from targets with `GET /status` and sends orders to them with `POST /orders`, over HTTP. */
class HttpTargets(private val client: HttpClient) : InstanceClient {
    private val json =
        Json {
            ignoreUnknownKeys = true
            classDiscriminator = "kind"
        }

    override suspend fun report(address: String): Either<TargetFailure, InstanceReport> =
        exchange("status of $address") { client.get("http://$address/status") }.flatMap { response ->
            try {
                json.decodeFromString<InstanceReport>(response.text).right()
            } catch (malformed: SerializationException) {
                TargetFailure.Broken("status of $address is malformed: ${malformed.message}").left()
            }
        }

    override suspend fun order(address: String, order: Order): Either<TargetFailure, Unit> =
        exchange("order to $address") {
            client.post("http://$address/orders") {
                contentType(ContentType.Application.Json)
                setBody(json.encodeToString(order))
            }
        }.map { }

    // The HTTP libraries throw many exception types; each becomes a TargetFailure.
    @Suppress("TooGenericExceptionCaught")
    private suspend fun exchange(
        operation: String,
        call: suspend () -> HttpResponse,
    ): Either<TargetFailure, TargetResponse> =
        try {
            val response =
                withTimeoutOrNull(REQUEST_TIMEOUT) { call().let { TargetResponse(it.status, it.bodyAsText()) } }
            response?.toResult(operation)
                ?: TargetFailure.TimedOut("$operation: no answer within $REQUEST_TIMEOUT").left()
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            failure.toTargetFailure(operation).left()
        }

    private class TargetResponse(val status: HttpStatusCode, val text: String) {
        fun toResult(operation: String): Either<TargetFailure, TargetResponse> =
            when {
                status.isSuccess() -> right()
                status == HttpStatusCode.Conflict -> TargetFailure.Refused("$operation: refused", status.value).left()
                else -> TargetFailure.Broken("$operation: status ${status.value}").left()
            }
    }

    private companion object {
        /** Half of the poll interval, so that one unresponsive instance does not delay a polling round. */
        val REQUEST_TIMEOUT = 500.milliseconds
    }
}

/**
 * Converts an exception of a call to a target: [TargetFailure.NotSent] if no connection was made, otherwise
 * [TargetFailure.Broken]. The reason starts with [operation].
 */
internal fun Throwable.toTargetFailure(operation: String): TargetFailure {
    val reason = "$operation: ${message ?: toString()}"
    return if (isConnectFailure(this)) TargetFailure.NotSent(reason) else TargetFailure.Broken(reason)
}
