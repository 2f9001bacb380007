package boragering.gateway

import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpResponseEncoder

/** Writes the events of one stream to the [channel] of its caller. Used on the event loop only. */
internal class StreamWriter(private val channel: Channel) {
    /** What is written here is not encoded again. */
    private val encoder by lazy { channel.pipeline().context(HttpResponseEncoder::class.java) }
    private var unsent = false

    /** Whether the caller's connection accepts more data without exceeding its write buffer limit. */
    val writable: Boolean get() = channel.isWritable

    /** Adds the bytes of one event, which are sent with the next [flush], or when the response ends. */
    fun add(event: ByteArray) {
        encoder.write(StreamChunk.encode(event, channel.alloc()))
        unsent = true
    }

    /** Sends the events that were added. */
    fun flush() {
        if (unsent) channel.flush()
        unsent = false
    }
}
