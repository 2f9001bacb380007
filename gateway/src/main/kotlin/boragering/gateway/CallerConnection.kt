package boragering.gateway

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.util.ReferenceCountUtil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One connection of a caller, which receives requests within the configured limits. Runs on the event loop. */
internal class CallerConnection(
    private val state: GatewayState,
    private val channel: Channel,
    private val receiveTracker: ReceiveTracker,
    private val onClosed: (CallerConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private val reading = ReadingGate(channel)
    private val pipeline = RequestPipeline(state, channel, reading, ::close)
    private val receiver = RequestReceiver(state, channel, receiveTracker, pipeline, reading, ::refuse)
    private var closing = false
    private var ending = false

    /** Whether no request is being received or answered, and the last response has left this process. */
    val idle: Boolean get() = pipeline.idle && (closing || receiveTracker.requestStartedAt == null) && !writing

    private val writing: Boolean
        get() = channel.isActive && channel.unsafe().outboundBuffer().let { it != null && !it.isEmpty }

    /** Refuses a request that takes too long to arrive by [now], and closes a connection that was idle too long. */
    fun checkTimeouts(now: Duration) {
        val limits = state.routes?.limits ?: return
        if (pipeline.responding || closing) return
        if (receiver.idleFor(now) >= limits.idleTimeout) close()
        receiver.overdue(now, limits)?.let(::refuse)
    }

    /** Closes the connection once everything that was written has left, or after [MAX_FLUSH_TIME]. */
    fun close() {
        if (ending) return
        ending = true
        closing = true
        if (channel is DuplexChannel && channel.isActive) {
            // An empty write completes after all earlier ones; shutting the output down would discard them.
            val lastWrite = channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
            lastWrite.addListener {
                channel.shutdownOutput()
                linger(end = state.now() + MAX_LINGER_TIME)
            }
            if (!lastWrite.isDone) state.ports.loop.after(MAX_FLUSH_TIME) { channel.close() }
        } else {
            channel.close()
        }
    }

    /** Closing a socket with unread bytes would reset it before the caller has read the response. */
    private fun linger(end: Duration): Unit = state.ports.loop.after(LINGER_TIME) {
        val now = state.now()
        val sending = now - receiveTracker.lastByteAt < LINGER_TIME
        if (sending && channel.isActive && now < end) linger(end) else channel.close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpRequest && !closing) receiver.onHead(message)
            if (message is HttpContent && !closing) receiver.onBodyPart(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        closing = true
        receiver.discard()
        pipeline.onDisconnect()
        onClosed(this)
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (channel.isWritable) pipeline.onWritable()
    }

    @Deprecated("Deprecated in Netty, which still calls it")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        state.log.event("caller-connection-failed", "reason" to cause)
        channel.close()
    }

    /** Ends the connection because of what the caller sent. */
    private fun refuse(refusal: Refusal) {
        closing = true
        val refused = ReceivedRequest(HttpMethod.GET, "/", receiver.headers, ByteArray(0), keepAlive = false)
        receiver.discard()
        // What the caller still sends has to be read, or it would not see the response.
        PauseReason.entries.forEach(reading::resume)
        if (pipeline.idle) {
            val backlog = StreamBacklog(state.bodyMemory) { }
            pipeline.refuse(refused, refusal, ResponseWriter(channel, refused, backlog, { true }) { close() })
        } else {
            // The caller would take an error response for the response that is in progress.
            channel.close()
        }
    }

    private companion object {
        val LINGER_TIME = 500.milliseconds

        /** Time for which a caller may go on to send a body that was refused. */
        val MAX_LINGER_TIME = 5.seconds

        /** Time for which a caller may take to read the last response of a connection that ends. */
        val MAX_FLUSH_TIME = 30.seconds
    }
}
