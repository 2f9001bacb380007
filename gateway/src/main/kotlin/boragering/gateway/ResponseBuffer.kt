package boragering.gateway

/** The complete body of a target's response, whose memory is returned by [release]. */
internal class ResponseBody(val bytes: ByteArray, private val memory: MemoryShare) {
    fun release() = memory.release()
}

/**
 * Collects the body of a response within [budget]; its length is [expectedBytes] unless that is 0. [onGranted] is
 * called when there is memory for which it has waited. Used on the event loop only.
 */
internal class ResponseBuffer(budget: MemoryBudget, expectedBytes: Int, onGranted: () -> Unit) {
    private val memory = budget.share(MemoryUse.RESPONSE, onGranted).apply { grow(expectedBytes.toLong()) }
    private val buffer = BodyBuffer(expectedBytes)
    private var taken = false

    /** Number of bytes collected so far. */
    val size: Int get() = buffer.size

    /** Whether no more should be read until there is memory for it. */
    val waiting: Boolean get() = memory.waiting

    /** Adds [part]. */
    fun add(part: ByteArray) {
        buffer.add(part)
        memory.grow(buffer.size.toLong())
    }

    /** The body, which takes the memory over. */
    fun take(): ResponseBody {
        taken = true
        return ResponseBody(buffer.toBytes(), memory)
    }

    /** Returns the memory unless the body was taken. */
    fun release() {
        if (!taken) memory.release()
    }
}
