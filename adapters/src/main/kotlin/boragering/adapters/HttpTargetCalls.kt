package boragering.adapters

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import boragering.core.AnswerPart
import boragering.core.Bytes
import boragering.core.Header
import boragering.core.TargetCall
import boragering.core.TargetClient
import boragering.core.TargetFailure
import io.ktor.client.HttpClient
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.post
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.content.ByteArrayContent
import io.ktor.http.contentType
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.seconds

/**
 * Sends requests to targets over HTTP. Each request has its own connection, so closing the connection tells the target
 * that the response is no longer needed. Engines are also sent `POST /v1/requests/<id>/cancel`.
 *
 * @param cancellationScope scope of the cancel calls, which continue after the cancelled request has ended.
 */
class HttpTargetCalls(private val client: HttpClient, private val cancellationScope: CoroutineScope) : TargetClient {
    override suspend fun send(
        call: TargetCall,
        receive: suspend (AnswerPart) -> Unit,
    ): Either<TargetFailure, Unit> {
        val operation = "request ${call.request} to ${call.address}"
        return try {
            val result = withTimeoutOrNull(call.timeout) { exchange(call, operation, receive) }
            if (result == null) cancelOnTarget(call)
            result ?: TargetFailure.TimedOut("$operation: not finished within ${call.timeout}").left()
        } catch (cancelled: CancellationException) {
            cancelOnTarget(call)
            throw cancelled
        }
    }

    private suspend fun exchange(
        call: TargetCall,
        operation: String,
        receive: suspend (AnswerPart) -> Unit,
    ): Either<TargetFailure, Unit> {
        var receiverFailure: Throwable? = null
        return catchFailures(operation, { receiverFailure }) {
            client.prepareRequest { applyCall(call) }.execute { response ->
                when (val refusal = response.refusal(operation)) {
                    null ->
                        ResponseReader(operation) { part ->
                            // A failure of the receiver is rethrown to the caller and is not attributed to the target.
                            runCatching { receive(part) }.onFailure { receiverFailure = it }.getOrThrow()
                        }.read(response)
                    else -> refusal.left()
                }
            }
        }
    }

    // The HTTP libraries throw many exception types; each becomes a TargetFailure unless the receiver failed.
    @Suppress("TooGenericExceptionCaught")
    private suspend fun catchFailures(
        operation: String,
        receiverFailure: () -> Throwable?,
        block: suspend () -> Either<TargetFailure, Unit>,
    ): Either<TargetFailure, Unit> =
        try {
            block()
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            receiverFailure()?.let { throw it }
            failure.toTargetFailure(operation).left()
        }

    private fun HttpRequestBuilder.applyCall(call: TargetCall) {
        method = HttpMethod(call.method)
        url("http://${call.address}${call.path}")
        call.headers.filterNot { it.name.equals(HttpHeaders.ContentType, true) }.forEach {
            headers.append(it.name, it.value)
        }
        if (call.body.size > 0) {
            val declared = call.headers.firstOrNull { it.name.equals(HttpHeaders.ContentType, true) }
            val type = declared?.let { ContentType.parse(it.value) } ?: ContentType.Application.Json
            setBody(ByteArrayContent(call.body.array, type))
        }
    }

    /** The failure that the head of the response tells; `null` if it tells none. */
    private fun HttpResponse.refusal(operation: String): TargetFailure? = when {
        status.value !in STATUSES -> TargetFailure.Broken("$operation: ${status.value} is not the status of a response")
        headers[NOT_RUN_HEADER].equals("true", ignoreCase = true) ->
            TargetFailure.Refused("$operation: refused with status ${status.value}", status.value)
        else -> null
    }

    private fun cancelOnTarget(call: TargetCall) {
        if (!call.path.startsWith(MODEL_PATH_PREFIX)) return
        cancellationScope.launch {
            withTimeoutOrNull(CANCEL_TIMEOUT) {
                runCatching { client.post("http://${call.address}/v1/requests/${call.request}/cancel") }
            }
        }
    }

    companion object {
        /** Response header with which a target states that it refused the request without running it. */
        const val NOT_RUN_HEADER = "Boragering-Not-Run"
        private const val MODEL_PATH_PREFIX = "/v1/"
        private val CANCEL_TIMEOUT = 2.seconds

        /** Statuses of final responses. */
        private val STATUSES = 200..599
    }
}

/** Passes the parts of a target's response to [receive] and checks that the response is complete. */
private class ResponseReader(private val operation: String, private val receive: suspend (AnswerPart) -> Unit) {
    suspend fun read(response: HttpResponse): Either<TargetFailure, Unit> {
        val headers = response.headers.entries().flatMap { (key, values) -> values.map { Header(key, it) } }
        receive(AnswerPart.Start(response.status.value, headers.toPersistentList()))
        val type = response.contentType()?.withoutParameters()
        return if (type == ContentType.Text.EventStream) readEvents(response) else readBody(response)
    }

    private suspend fun readEvents(response: HttpResponse): Either<TargetFailure, Unit> =
        if (ServerSentEventReader(response.bodyAsChannel()).forEach { receive(it) }) {
            Unit.right()
        } else {
            TargetFailure.Broken("$operation: the stream ended without its end marker").left()
        }

    private suspend fun readBody(response: HttpResponse): Either<TargetFailure, Unit> {
        val body = ResponseBodyReader(response)
        body.forEach { receive(AnswerPart.Body(Bytes(it))) }
        return if (body.complete) Unit.right() else truncatedBody()
    }

    private fun truncatedBody() = TargetFailure.Broken("$operation: the body ended before its declared length").left()
}
