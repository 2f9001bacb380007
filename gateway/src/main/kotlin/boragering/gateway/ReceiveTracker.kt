package boragering.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import kotlin.time.Duration

/** Records when bytes arrive on a caller's connection, before they are decoded. */
internal class ReceiveTracker(private val state: GatewayState) : ChannelInboundHandlerAdapter() {
    /** When the first byte of the request that is being received arrived; `null` if none is being received. */
    var requestStartedAt: Duration? = null

    /** When bytes last arrived; the time at which the connection was opened if none has. */
    var lastByteAt = state.now()
        private set

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf && message.isReadable) {
            lastByteAt = state.now()
            if (requestStartedAt == null) requestStartedAt = lastByteAt
        }
        context.fireChannelRead(message)
    }
}
