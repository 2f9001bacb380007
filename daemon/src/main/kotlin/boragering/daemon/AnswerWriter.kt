package boragering.daemon

import boragering.core.AnswerPart
import boragering.core.CallerRequest
import boragering.core.Problem
import boragering.core.RequestResult
import boragering.core.RequestService
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import java.io.IOException

/** Serves requests and streams the parts of each answer to the caller as they arrive. */
internal class AnswerWriter(
    private val service: RequestService,
    private val connections: CallerConnections = CallerConnections,
) {
    /** Serves [request] and writes its answer to [call]. The request is cancelled when the caller disconnects. */
    suspend fun write(call: ApplicationCall, request: CallerRequest) =
        coroutineScope {
            val parts = Channel<AnswerPart>(BUFFERED_PARTS)
            val result =
                async {
                    try {
                        service.serve(request) { parts.send(it) }
                    } finally {
                        parts.close()
                    }
                }
            when (val first = parts.receiveCatching().getOrNull()) {
                is AnswerPart.Start -> call.respondParts(first, parts, result, request)
                else -> call.respondProblem(result.await().problem(), request.id)
            }
        }

    private suspend fun ApplicationCall.respondParts(
        start: AnswerPart.Start,
        parts: Channel<AnswerPart>,
        result: Deferred<RequestResult>,
        request: CallerRequest,
    ) {
        val type = start.header(HttpHeaders.ContentType)?.let { ContentType.parse(it) }
        val isEventStream = type?.withoutParameters() == ContentType.Text.EventStream
        FORWARDED_HEADERS.forEach { name -> start.header(name)?.let { response.header(name, it) } }
        respondBytesWriter(type, HttpStatusCode.fromValue(start.status)) {
            for (part in parts) {
                writePart(part, isEventStream)
            }
            when (val end = result.await()) {
                is RequestResult.Complete -> if (isEventStream) writeStringUtf8("data: $END_MARKER\n\n")
                is RequestResult.Failed -> {
                    if (isEventStream) writeErrorEvent(end.problem, request)
                    connections.close(this@respondParts)
                    throw IncompleteAnswerException("incomplete answer to request ${request.id}: ${end.problem.detail}")
                }
            }
        }
    }

    private suspend fun ByteWriteChannel.writePart(part: AnswerPart, isEventStream: Boolean) {
        when (part) {
            is AnswerPart.Start -> Unit
            is AnswerPart.Event -> writeStringUtf8(if (isEventStream) eventText(part.data) else part.data)
            is AnswerPart.Body -> writeFully(part.bytes.array)
        }
        flush()
    }

    private fun eventText(data: String): String = data.lineSequence().joinToString(
        "\n",
        postfix = "\n\n"
    ) { "data: $it" }

    private suspend fun ByteWriteChannel.writeErrorEvent(problem: Problem, request: CallerRequest) {
        writeStringUtf8("event: error\ndata: ${problem.toJson(request.id)}\n\n")
        flush()
    }

    private fun RequestResult.problem(): Problem =
        when (this) {
            is RequestResult.Failed -> problem
            is RequestResult.Complete -> error("the request completed without any answer part")
        }

    private fun AnswerPart.Start.header(name: String): String? =
        headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    private companion object {
        const val BUFFERED_PARTS = 16
        const val END_MARKER = "[DONE]"
        val FORWARDED_HEADERS = listOf(HttpHeaders.Location, HttpHeaders.ETag, HttpHeaders.CacheControl)
    }
}

/** Thrown when an answer fails after its start was written, so that the server does not end it as complete. */
internal class IncompleteAnswerException(message: String) : IOException(message)
