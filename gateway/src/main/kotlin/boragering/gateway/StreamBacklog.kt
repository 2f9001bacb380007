package boragering.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/**
 * The part of one stream that waits for a caller who reads slowly, so that its target can be read on. It is kept in
 * pages on the heap, whose memory counts towards [budget]; with one buffer for each event, small events would take
 * several times their length. [onGranted] is called when there is memory for which the backlog has waited. Used on the
 * event loop only.
 */
internal class StreamBacklog(private val budget: MemoryBudget, private val onGranted: () -> Unit) {
    private val pages = ArrayDeque<ByteArray>()
    private var memory: MemoryShare? = null

    /** Number of bytes in use of the last page. */
    private var end = 0

    /** Whether nothing waits. */
    val isEmpty: Boolean get() = pages.isEmpty()

    /** Whether no more should be read from the target until there is memory for it. */
    val waiting: Boolean get() = memory?.waiting == true

    /** Adds [parts], which follow one another in the stream. */
    fun add(vararg parts: ByteArray) {
        parts.forEach(::append)
        val share = memory ?: budget.share(MemoryUse.STREAM, onGranted).also { memory = it }
        share.grow(pages.size.toLong() * PAGE_BYTES)
    }

    private fun append(bytes: ByteArray) {
        var offset = 0
        while (offset < bytes.size) {
            if (pages.isEmpty() || end == PAGE_BYTES) addPage()
            val length = minOf(PAGE_BYTES - end, bytes.size - offset)
            bytes.copyInto(pages.last(), end, offset, offset + length)
            end += length
            offset += length
        }
    }

    /** Removes the oldest bytes; `null` if there are none. The memory is returned when nothing is left. */
    fun poll(): ByteBuf? {
        val page = pages.removeFirstOrNull() ?: return null
        val length = if (pages.isEmpty()) end else PAGE_BYTES
        if (pages.isEmpty()) discard() else returnHalf()
        return Unpooled.wrappedBuffer(page, 0, length)
    }

    /** Removes all bytes together with their memory, which the caller of this function has to release. */
    fun takeAll(): StreamRemainder {
        val buffers = pages.mapIndexed { index, page ->
            Unpooled.wrappedBuffer(page, 0, if (index == pages.lastIndex) end else PAGE_BYTES)
        }
        pages.clear()
        return StreamRemainder(buffers, memory).also { memory = null }
    }

    /** Drops all bytes and returns their memory. */
    fun discard() {
        pages.clear()
        memory?.release()
        memory = null
    }

    /** Returns memory of a backlog that has shrunk to half, so that this stream is read on, and others get it. */
    private fun returnHalf() {
        val bytes = pages.size.toLong() * PAGE_BYTES
        val share = memory?.takeIf { bytes <= it.bytes / 2 } ?: return
        share.release()
        memory = budget.share(MemoryUse.STREAM, onGranted).also { it.grow(bytes) }
    }

    private fun addPage() {
        pages.addLast(ByteArray(PAGE_BYTES))
        end = 0
    }

    private companion object {
        const val PAGE_BYTES = 8 shl 10
    }
}

/** The bytes of a stream that were not sent when it ended, and their [memory]; `null` if there are none. */
internal class StreamRemainder(val buffers: List<ByteBuf>, val memory: MemoryShare?)
