package boragering.core.requests

import boragering.core.AnswerPart
import boragering.core.Bytes
import boragering.core.Header
import boragering.core.claims.ClaimState
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import java.util.Base64

/** Reads headers, content and request ids from the parts of an answer. */
internal object AnswerContent {
    /** Matches the finish reason, which only the last chunk of a chat completion with content has. */
    private val FINISH_REASON = Regex("\"finish_reason\"\\s*:\\s*\"")

    /** Whether [event] is the last chunk of a chat completion that has content. */
    fun isFinalChunk(event: AnswerPart.Event): Boolean = FINISH_REASON.containsMatchIn(event.data)

    /** The value of the header [name], or `null` if it is absent. Header names are case-insensitive. */
    fun header(start: AnswerPart.Start, name: String): String? =
        start.headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    /** The content type, or an empty string if the header is absent. */
    fun contentType(start: AnswerPart.Start): String = header(start, RequestHeaders.CONTENT_TYPE).orEmpty()

    /** The request id in the JSON body of a complete answer, or `null` if there is none. */
    fun statedRequestId(parts: List<AnswerPart>): String? = try {
        val bytes = parts.filterIsInstance<AnswerPart.Body>().map { it.bytes.array }
        val text = bytes.fold(ByteArray(0)) { whole, part -> whole + part }.decodeToString()
        ((Json.parseToJsonElement(text) as? JsonObject)?.get("id") as? JsonPrimitive)?.contentOrNull
    } catch (_: SerializationException) {
        // A body that is not JSON states no request id.
        null
    }

    /** Builds the answer to a repeated request from the answer recorded in the claim. */
    fun replay(finished: ClaimState.Finished): List<AnswerPart> {
        val type = finished.contentType?.let { Header(RequestHeaders.CONTENT_TYPE, it) }
        val replayed = Header("Idempotent-Replayed", "true")
        val body = AnswerPart.Body(Bytes(Base64.getDecoder().decode(finished.body.orEmpty())))
        val headers = if (type == null) persistentListOf(replayed) else persistentListOf(type, replayed)
        return listOf(AnswerPart.Start(finished.status, headers), body)
    }
}

/** Buffers the body of an answer if it is short enough to be recorded in the claim. */
internal class BoundedBodyBuffer {
    private var bytes: ByteArray? = ByteArray(0)

    /**
     * Appends the next part. Discards the whole buffer if the part is an event or if the body exceeds [MAXIMUM_BYTES].
     */
    fun add(part: AnswerPart) {
        val whole = (part as? AnswerPart.Body)?.let { bytes?.plus(it.bytes.array) }
        bytes = whole?.takeIf { it.size <= MAXIMUM_BYTES }
    }

    /** The body in base64, or `null` if the buffer was discarded. */
    fun toBase64(): String? = bytes?.let { Base64.getEncoder().encodeToString(it) }

    private companion object {
        const val MAXIMUM_BYTES = 2 * 1024
    }
}
