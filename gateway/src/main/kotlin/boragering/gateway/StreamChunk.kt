package boragering.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.ByteBufUtil

/** Encodes the events of a stream for the chunked transfer encoding. */
internal object StreamChunk {
    private const val HEXADECIMAL = 16

    /** Bytes of a chunk besides its content and its length. */
    private const val LINE_ENDS = 4

    /** Carriage return and line feed. */
    private const val LINE_END = 0x0d0a

    /** The bytes that precede [content] in its chunk. */
    fun prefix(content: ByteArray): ByteArray = (content.size.toString(HEXADECIMAL) + "\r\n").toByteArray()

    /** The bytes that follow the content of a chunk. */
    val SUFFIX = "\r\n".toByteArray()

    /** One chunk with [content], in a single buffer, which takes one system call and no further copy to be sent. */
    fun encode(content: ByteArray, allocator: ByteBufAllocator): ByteBuf {
        val length = content.size.toString(HEXADECIMAL)
        val chunk = allocator.directBuffer(length.length + content.size + LINE_ENDS)
        ByteBufUtil.writeAscii(chunk, length)
        ByteBufUtil.writeShortBE(chunk, LINE_END)
        chunk.writeBytes(content)
        ByteBufUtil.writeShortBE(chunk, LINE_END)
        return chunk
    }
}
