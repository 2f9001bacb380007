package boragering.adapters

import boragering.core.membership.HandshakeMessage
import boragering.core.membership.PeerTrafficMetrics
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Writes frames to [channel]: those of the handshake, and after [start] those of a queue. Must be used on the event
 * loop of the channel, except for [writable], [flush] and [close].
 */
internal class PeerFrameWriter(private val channel: Channel, private val traffic: PeerTrafficMetrics) : AutoCloseable {
    private val flushScheduled = AtomicBoolean()
    private var queue: SendQueue? = null

    /** Whether the socket takes more at the moment. Safe for use by several threads. */
    val writable: Boolean get() = channel.isWritable

    /** Begins to send the messages in [source]. */
    fun start(source: SendQueue) {
        queue = source
        sendQueued()
    }

    /** Schedules that the queued messages are sent. Safe for use by several threads. */
    fun flush() {
        // One task sends all messages that are queued before it runs.
        if (flushScheduled.compareAndSet(false, true)) channel.eventLoop().execute(::sendQueued)
    }

    /** Sends the queued messages as far as the socket takes them. */
    fun sendQueued() {
        flushScheduled.set(false)
        val source = queue ?: return
        var written = false
        // What the socket does not take yet stays in the queue, where urgent messages overtake others.
        while (channel.isActive && channel.isWritable) {
            val next = source.poll() ?: break
            write(next.body).addListener { source.release(next) }
            traffic.sent(next.kind, next.body.size)
            written = true
        }
        if (written) channel.flush()
    }

    /** Sends a message of the handshake. */
    fun send(message: HandshakeMessage) {
        write(PeerCodec.encode(HandshakeMessage.serializer(), message))
        channel.flush()
    }

    /** Closes the channel. Safe for use by several threads. */
    override fun close() {
        channel.close()
    }

    private fun write(body: ByteArray): ChannelFuture {
        val frame = channel.alloc().buffer(Int.SIZE_BYTES + body.size)
        return channel.write(frame.writeInt(body.size).writeBytes(body))
    }
}
