package boragering.gateway

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.util.ReferenceCountUtil

/**
 * Decodes a target's responses. A response to a HEAD request has no body, whatever its headers say. Bytes that arrive
 * while no response is expected are not decoded; they close the connection.
 *
 * The base class ends a body without a length at the end of the connection, whatever its reason. [cutOff] tells whether
 * the target had ended the connection itself.
 */
internal class TargetResponseDecoder : HttpResponseDecoder() {
    /** Whether the next response has no body. */
    var expectNoBody = false

    /** Whether a call waits for its response. */
    var expectResponse = false

    /** Whether bytes follow the part of a response that was decoded last. */
    val hasUndecodedBytes: Boolean get() = actualReadableBytes() > 0

    private var reset = false
    private var inputEnded = false

    /** Whether the connection has ended without an end that the target sent after all its bytes. */
    var cutOff = false
        private set

    /**
     * Records that a write failed because the connection was reset. The reads that follow end as if the target had sent
     * an end, whether or not it did; [endReceived] tells whether it is known that it did.
     */
    fun onReset(endReceived: Boolean) {
        reset = !endReceived
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (expectResponse) {
            super.channelRead(context, message)
        } else {
            ReferenceCountUtil.release(message)
            context.close()
        }
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent) {
            inputEnded = true
            cutOff = reset
        }
        super.userEventTriggered(context, event)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        if (!inputEnded) cutOff = true
        super.channelInactive(context)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        expectNoBody || super.isContentAlwaysEmpty(message)
}
