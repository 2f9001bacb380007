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
 * Requests to targets over HTTP. Each request has a connection of its own, so that closing it tells the target that the
 * answer is no longer wanted; engines are told by `POST /v1/requests/<id>/cancel` as well.
 *
 * @param cancellationScope runs the cancel calls, which outlive the cancelled request.
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
                            // A failure of the receiver is the caller's, not the target's.
                            runCatching { receive(part) }.onFailure { receiverFailure = it }.getOrThrow()
                        }.read(response)
                    else -> refusal.left()
                }
            }
        }
    }

    // Any failure of a call must become a TargetFailure, whichever library raised it.
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

    private fun HttpResponse.refusal(operation: String): TargetFailure? =
        if (headers[NOT_RUN_HEADER].equals("true", ignoreCase = true)) {
            TargetFailure.Refused("$operation: refused with status ${status.value}", status.value)
        } else {
            null
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
        /** Response header by which a target states that it refused a request before running it. */
        const val NOT_RUN_HEADER = "Boragering-Not-Run"
        private const val MODEL_PATH_PREFIX = "/v1/"
        private val CANCEL_TIMEOUT = 2.seconds
    }
}

/** Reads a target's answer and decides whether it is complete. */
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
