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

/** Reports and orders over HTTP: `GET /status` and `POST /orders`. */
class HttpTargets(private val client: HttpClient) : InstanceClient {
    private val json =
        Json {
            ignoreUnknownKeys = true
            classDiscriminator = "kind"
        }

    override suspend fun report(address: String): Either<TargetFailure, InstanceReport> =
        exchange("status of $address") { client.get("http://$address/status") }.flatMap { answer ->
            try {
                json.decodeFromString<InstanceReport>(answer.text).right()
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

    // Any failure of a call must become a TargetFailure, whichever library raised it.
    @Suppress("TooGenericExceptionCaught")
    private suspend fun exchange(name: String, call: suspend () -> HttpResponse): Either<TargetFailure, Answer> =
        try {
            val answer = withTimeoutOrNull(TIMEOUT) { call().let { Answer(it.status, it.bodyAsText()) } }
            answer?.accepted(name) ?: TargetFailure.TimedOut("$name: no answer within $TIMEOUT").left()
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            failure.toTargetFailure(name).left()
        }

    private class Answer(val status: HttpStatusCode, val text: String) {
        fun accepted(name: String): Either<TargetFailure, Answer> =
            when {
                status.isSuccess() -> right()
                status == HttpStatusCode.Conflict -> TargetFailure.Refused("$name: refused", status.value).left()
                else -> TargetFailure.Broken("$name: status ${status.value}").left()
            }
    }

    private companion object {
        /** Half of the poll interval, so that one silent instance does not delay a round of reports. */
        val TIMEOUT = 500.milliseconds
    }
}

/** Classifies a failure of a call to a target. */
internal fun Throwable.toTargetFailure(name: String): TargetFailure {
    val reason = "$name: ${message ?: toString()}"
    return if (isConnectFailure(this)) TargetFailure.NotSent(reason) else TargetFailure.Broken(reason)
}
