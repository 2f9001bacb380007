package boragering.adapters

import boragering.core.AnswerPart
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readLineStrict
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import java.io.IOException

/** Reads a stream of server-sent events that the event `[DONE]` terminates. */
internal class ServerSentEventReader(private val channel: ByteReadChannel) {
    /** Calls [onEvent] with each event. Returns `false` if the stream ended before the end marker `[DONE]`. */
    suspend fun forEach(onEvent: suspend (AnswerPart.Event) -> Unit): Boolean {
        val data = StringBuilder()
        while (true) {
            val line = channel.readLineStrict(MAXIMUM_LINE_BYTES) ?: return false
            when {
                line.startsWith(DATA_FIELD) -> data.appendDataLine(line.removePrefix(DATA_FIELD).removePrefix(" "))
                line.isEmpty() && data.isNotEmpty() -> {
                    val text = data.toString()
                    data.clear()
                    if (text == END_MARKER) return true
                    onEvent(AnswerPart.Event(parseIdField(text), text))
                }
            }
        }
    }

    private fun StringBuilder.appendDataLine(text: String) {
        if (isNotEmpty()) append('\n')
        append(text)
        if (length > MAXIMUM_EVENT_CHARACTERS) throw IOException("an event is longer than $MAXIMUM_EVENT_CHARACTERS")
    }

    private companion object {
        const val DATA_FIELD = "data:"
        const val END_MARKER = "[DONE]"
        const val MAXIMUM_LINE_BYTES = 1024L * 1024

        /** Limit for all lines of an event. */
        const val MAXIMUM_EVENT_CHARACTERS = 4 * 1024 * 1024
    }
}

/** Returns the `id` field of the JSON object in [text], or `null` if [text] is not an object with such a field. */
internal fun parseIdField(text: String): String? =
    runCatching { ((Json.parseToJsonElement(text) as? JsonObject)?.get("id") as? JsonPrimitive)?.contentOrNull }
        .getOrNull()
