package boragering.gateway

/** What the bodies that a gateway holds belong to. */
internal enum class MemoryUse {
    /** The request of a caller. It waits, or is refused, while the memory is short. */
    REQUEST,

    /** The response of a target, which has done its work. Its reading waits while the memory is short. */
    RESPONSE,

    /** Events of streams whose callers read slowly. The reading of their targets waits while the memory is short. */
    STREAM,
}

/** Whether memory was granted. */
internal enum class MemoryGrant { GRANTED, WAITING, REFUSED }

/**
 * Divides the memory for the bodies of messages, in bytes, among those that a gateway holds at the same time, so that
 * callers and targets cannot exhaust its heap.
 *
 * Requests may use a part of the [capacity], so that there is room for their responses. Large requests may use less
 * than all requests, and small responses never wait, so that small messages pass large ones. What does not fit waits in
 * the order of arrival. A request is refused if as much as fits waits already. Streams have a part of their own, so
 * that callers who read slowly take no memory from the requests of others. Used on the event loop only.
 */
internal class MemoryBudget(val capacity: Long, private val listener: Listener = Listener { }) {
    /** Receives the changes of [MemoryBudget.short]. */
    fun interface Listener {
        /** Called when the memory begins or ceases to be [short]. */
        fun onShortage(short: Boolean)
    }

    /** Bytes that are granted. */
    var used = 0L
        private set

    /** Highest value of [used] so far. */
    var highestUse = 0L
        private set

    /** Bytes that are granted to streams. */
    val usedByStreams: Long get() = usedBy[MemoryUse.STREAM.ordinal]

    /** Whether a message waits for memory. A stream that waits is no reason to hurry the callers that send bodies. */
    val short: Boolean get() = waiting.indices.any { it != MemoryClass.STREAM.ordinal && waiting[it].isNotEmpty() }

    private val waiting = MemoryClass.entries.map { ArrayDeque<MemoryShare>() }
    private val usedBy = LongArray(MemoryUse.entries.size)

    /** A share without any memory. [onGranted] is called when memory is granted for which the share has waited. */
    fun share(use: MemoryUse, onGranted: () -> Unit): MemoryShare = MemoryShare(this, use, onGranted)

    internal fun tryGrant(share: MemoryShare): MemoryGrant {
        val kind = share.memoryClass
        val queue = waiting[kind.ordinal]
        return when {
            queue.isEmpty() && fits(share) -> MemoryGrant.GRANTED.also { grant(share) }
            share.use == MemoryUse.REQUEST && queue.sumOf { it.missing } >= limit(kind) -> MemoryGrant.REFUSED
            else -> MemoryGrant.WAITING.also { wait(share, queue) }
        }
    }

    internal fun release(share: MemoryShare, bytes: Long) {
        val wasShort = short
        waiting.forEach { it.remove(share) }
        add(share, -bytes)
        waiting.forEach(::grantWaiting)
        if (wasShort && !short) listener.onShortage(short = false)
    }

    private fun wait(share: MemoryShare, queue: ArrayDeque<MemoryShare>) {
        val wasShort = short
        queue += share
        if (!wasShort && short) listener.onShortage(short = true)
    }

    private fun grantWaiting(queue: ArrayDeque<MemoryShare>) {
        while (queue.isNotEmpty() && fits(queue.first())) {
            val share = queue.removeFirst()
            grant(share)
            share.onGranted()
        }
    }

    /** A message that is larger than its limit is taken while it is the only one of its use. */
    private fun fits(share: MemoryShare): Boolean = when (share.memoryClass) {
        MemoryClass.SMALL_RESPONSE -> true
        MemoryClass.STREAM ->
            usedByStreams + share.missing <= limit(MemoryClass.STREAM) && used + share.missing <= capacity
        MemoryClass.SMALL_REQUEST, MemoryClass.REQUEST -> fitsBeside(used - usedByStreams, share)
        MemoryClass.RESPONSE -> fitsBeside(used, share)
    }

    private fun fitsBeside(others: Long, share: MemoryShare): Boolean =
        others + share.missing <= limit(share.memoryClass) || usedBy[share.use.ordinal] == share.bytes

    private fun limit(kind: MemoryClass): Long = (capacity * kind.part).toLong()

    private fun grant(share: MemoryShare) {
        val bytes = share.missing
        share.bytes += bytes
        add(share, bytes)
    }

    private fun add(share: MemoryShare, bytes: Long) {
        used += bytes
        usedBy[share.use.ordinal] += bytes
        highestUse = maxOf(highestUse, used)
    }
}
