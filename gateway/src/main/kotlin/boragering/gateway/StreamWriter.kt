package boragering.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpResponseEncoder

/**
 * Writes the events of one stream to the [channel] of its caller. What the connection does not accept waits in
 * [backlog]. Used on the event loop only.
 */
internal class StreamWriter(private val channel: Channel, private val backlog: StreamBacklog) {
    /** What is written here is not encoded again. */
    private val encoder by lazy { channel.pipeline().context(HttpResponseEncoder::class.java) }
    private var unsent = false

    /** Whether there is memory for more events, whether or not the caller reads them. */
    val accepting: Boolean get() = !backlog.waiting

    /** Adds the bytes of one event, which are sent with the next [flush], or when the response ends. */
    fun add(event: ByteArray) {
        if (backlog.isEmpty && channel.isWritable) {
            write(StreamChunk.encode(event, channel.alloc()))
        } else {
            backlog.add(StreamChunk.prefix(event), event, StreamChunk.SUFFIX)
        }
    }

    /** Sends the events that were added. */
    fun flush() {
        if (unsent) channel.flush()
        unsent = false
    }

    /** Sends events that have waited, as far as the connection accepts them. */
    fun onWritable() {
        while (channel.isWritable) write(backlog.poll() ?: break)
        flush()
    }

    /** Adds all events that wait, and returns their memory, to be released when they are sent; `null` if none waits. */
    fun addRest(): MemoryShare? {
        val rest = backlog.takeAll()
        rest.buffers.forEach(::write)
        return rest.memory
    }

    /** Drops the events that wait. */
    fun discard() = backlog.discard()

    private fun write(bytes: ByteBuf) {
        encoder.write(bytes)
        unsent = true
    }
}
