package boragering.core.requests

import boragering.core.AnswerPart

/** The parts of an answer that were received and not yet forwarded, with their size. */
internal class HeldParts {
    private val held = ArrayList<AnswerPart>()

    /** The parts in the order of their arrival. */
    val parts: List<AnswerPart> get() = held

    /** Size of the parts, including those that were dropped: bytes of bodies, and characters of events. */
    var size = 0L
        private set

    /** Adds [part]. Beyond [maximumSize] all parts are dropped. */
    fun add(part: AnswerPart, maximumSize: Long) {
        size += part.size
        if (size > maximumSize) held.clear() else held.add(part)
    }

    /** Forgets all parts, which were forwarded. */
    fun clear() {
        held.clear()
        size = 0
    }

    private val AnswerPart.size: Int
        get() = when (this) {
            is AnswerPart.Start -> 0
            is AnswerPart.Event -> data.length
            is AnswerPart.Body -> bytes.size
        }
}
