package boragering.fleet

import java.io.ByteArrayOutputStream

/**
 * Splits a stream of server-sent events into whole events, so that a truncated event is never passed on. Not
 * thread-safe.
 */
class EventParser {
    private val pending = ByteArrayOutputStream()
    private var lineEmpty = true
    private var lineStart = 0

    private var eventId: Long? = null

    /** Whether the bytes received so far end within an event. */
    val broken: Boolean get() = pending.size() > 0

    /** Whether an event is longer than [MAX_EVENT_BYTES]. The parser ignores all further bytes then. */
    val oversized: Boolean get() = pending.size() > MAX_EVENT_BYTES

    /** Calls [onEvent] with the bytes and the id of each event that [bytes] completes. */
    fun feed(bytes: ByteArray, onEvent: (ByteArray, Long?) -> Unit) {
        for (byte in bytes) {
            if (oversized) return
            pending.write(byte.toInt())
            when (byte) {
                LINE_FEED -> endLine(onEvent)
                CARRIAGE_RETURN -> Unit
                else -> lineEmpty = false
            }
        }
    }

    private fun endLine(onEvent: (ByteArray, Long?) -> Unit) {
        if (lineEmpty) {
            val event = pending.toByteArray()
            val id = eventId
            reset()
            onEvent(event, id)
        } else {
            readLine()
            lineEmpty = true
            lineStart = pending.size()
        }
    }

    private fun readLine() {
        val line = pending.toByteArray().decodeToString(lineStart, pending.size()).trimEnd()
        if (line.startsWith(ID_FIELD)) eventId = line.substring(ID_FIELD.length).trim().toLongOrNull()
    }

    private fun reset() {
        pending.reset()
        lineEmpty = true
        lineStart = 0
        eventId = null
    }

    /** Limits of the parser. */
    companion object {
        /** Largest size of an event in bytes. The limit bounds the memory used by an event that never ends. */
        const val MAX_EVENT_BYTES = 1 shl 20
        private const val LINE_FEED = '\n'.code.toByte()
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        private const val ID_FIELD = "id:"
    }
}
