package boragering.gateway

/** Messages with the same limit, in the order in which they are granted memory. [part] is a part of the capacity. */
internal enum class MemoryClass(val part: Double) {
    SMALL_RESPONSE(part = 1.0),
    RESPONSE(part = 1.0),
    SMALL_REQUEST(part = 0.75),
    REQUEST(part = 0.5),

    /** Streams come last, because their callers have the first part of their answers. */
    STREAM(part = 0.25),
}

/** The memory of one message. Used on the event loop only. */
internal class MemoryShare(
    private val budget: MemoryBudget,
    val use: MemoryUse,
    private val granted: () -> Unit,
) {
    private var wanted = 0L
    private var released = false

    /** Bytes that are granted. */
    var bytes = 0L
        internal set

    /** Whether the share waits for memory. */
    var waiting = false
        private set

    internal val missing: Long get() = wanted - bytes

    internal val memoryClass: MemoryClass
        get() = when {
            use == MemoryUse.STREAM -> MemoryClass.STREAM
            use == MemoryUse.RESPONSE -> if (small) MemoryClass.SMALL_RESPONSE else MemoryClass.RESPONSE
            else -> if (small) MemoryClass.SMALL_REQUEST else MemoryClass.REQUEST
        }

    private val small: Boolean get() = wanted <= SMALL_BYTES

    /** Asks for [total] bytes altogether. Does nothing if that many are granted, or if the share waits or has ended. */
    fun grow(total: Long): MemoryGrant {
        val grant = when {
            waiting -> MemoryGrant.WAITING
            released || total <= bytes -> MemoryGrant.GRANTED
            else -> {
                wanted = total
                budget.tryGrant(this)
            }
        }
        waiting = grant == MemoryGrant.WAITING
        return grant
    }

    /** Returns all memory and ends the share. */
    fun release() {
        if (released) return
        released = true
        waiting = false
        val returned = bytes
        bytes = 0
        budget.release(this, returned)
    }

    internal fun onGranted() {
        waiting = false
        granted()
    }

    private companion object {
        /** Length of a message up to which it counts as small, in bytes. */
        const val SMALL_BYTES = 64L shl 10
    }
}
