package boragering.gateway

import io.netty.buffer.ByteBuf

/** Collects the parts of one body. If its length is known, the bytes are kept once only. Not thread safe. */
internal class BodyBuffer(private val expectedBytes: Int = 0) {
    private var bytes = EMPTY

    /** Number of bytes collected so far. */
    var size = 0
        private set

    /** Adds the readable bytes of [part]. */
    fun add(part: ByteBuf) {
        val added = part.readableBytes()
        reserve(size + added)
        part.getBytes(part.readerIndex(), bytes, size, added)
        size += added
    }

    /** Adds [part]. */
    fun add(part: ByteArray) {
        reserve(size + part.size)
        part.copyInto(bytes, size)
        size += part.size
    }

    /** The bytes collected so far. */
    fun toBytes(): ByteArray = if (bytes.size == size) bytes else bytes.copyOf(size)

    private fun reserve(total: Int) {
        if (total <= bytes.size) return
        bytes = bytes.copyOf(maxOf(total, expectedBytes, minOf(bytes.size * 2, bytes.size + MAX_GROWTH)))
    }

    private companion object {
        val EMPTY = ByteArray(0)

        /** Limits the unused part of a buffer whose length is not known, in bytes. */
        const val MAX_GROWTH = 1 shl 20
    }
}
