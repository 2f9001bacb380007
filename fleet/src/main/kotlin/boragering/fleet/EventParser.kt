package boragering.fleet

import java.io.ByteArrayOutputStream

/**
 * Splits a stream of server-sent events into whole events, so that a truncated event is never passed on. Bytes are
 * copied only if an event does not arrive by itself in one piece. Not thread-safe.
 */
class EventParser {
    /** The beginning of an event whose end has not arrived. */
    private val pending = ByteArrayOutputStream()
    private var lineEmpty = true

    /** Whether the bytes received so far end within an event. */
    val broken: Boolean get() = pending.size() > 0

    /** Whether an event is longer than [MAX_EVENT_BYTES]. The parser ignores all further bytes then. */
    val oversized: Boolean get() = pending.size() > MAX_EVENT_BYTES

    /** Calls [onEvent] with the bytes and the id of each event that [bytes] completes. */
    fun feed(bytes: ByteArray, onEvent: (ByteArray, Long?) -> Unit) {
        if (oversized) return
        var start = 0
        var end = eventEnd(bytes, start)
        while (end >= 0 && !oversized) {
            take(bytes, start, end, onEvent)
            start = end
            end = eventEnd(bytes, start)
        }
        pending.write(bytes, start, bytes.size - start)
    }

    /** Index after the empty line that ends the event at [from] of [bytes]; -1 if the event is incomplete. */
    private fun eventEnd(bytes: ByteArray, from: Int): Int {
        for (index in from until bytes.size) {
            val byte = bytes[index]
            if (byte == LINE_FEED) {
                if (lineEmpty) return index + 1
                lineEmpty = true
            } else if (byte != CARRIAGE_RETURN) {
                lineEmpty = false
            }
        }
        return -1
    }

    /** Passes on the event up to [end] of [bytes]; one that is too long is kept, so that no other follows. */
    private fun take(bytes: ByteArray, start: Int, end: Int, onEvent: (ByteArray, Long?) -> Unit) {
        if (pending.size() == 0 && end - start <= MAX_EVENT_BYTES) {
            val event = if (end - start == bytes.size) bytes else bytes.copyOfRange(start, end)
            return onEvent(event, id(event))
        }
        pending.write(bytes, start, end - start)
        if (oversized) return
        val event = pending.toByteArray()
        pending.reset()
        onEvent(event, id(event))
    }

    /** The number in the last line of [event] that begins with [ID_FIELD]; `null` if there is none. */
    private fun id(event: ByteArray): Long? {
        var id: Long? = null
        var start = 0
        for (index in event.indices) {
            if (event[index] != LINE_FEED) continue
            if (startsWithId(event, start)) {
                id = event.decodeToString(start + ID_FIELD.size, index).trim().toLongOrNull()
            }
            start = index + 1
        }
        return id
    }

    private fun startsWithId(event: ByteArray, start: Int): Boolean =
        event[start] == ID_FIELD[0] && event[start + 1] == ID_FIELD[1] && event[start + 2] == ID_FIELD[2]

    /** Limits of the parser. */
    companion object {
        /** Largest size of an event in bytes. The limit bounds the memory used by an event that never ends. */
        const val MAX_EVENT_BYTES = 1 shl 20
        private const val LINE_FEED = '\n'.code.toByte()
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        private val ID_FIELD = "id:".toByteArray()
    }
}
