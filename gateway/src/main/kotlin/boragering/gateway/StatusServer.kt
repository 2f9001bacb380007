package boragering.gateway

import boragering.fleet.Address
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion

/** Supplies the data that a [StatusServer] returns. Called on the event loop. */
interface StatusSource {
    /** Whether the gateway can serve requests. */
    val ready: Boolean

    /** All metrics in the Prometheus text format. */
    fun metrics(): String
}

/** HTTP server for the readiness (`/ready`) and the metrics (`/metrics`) of the gateway. */
class StatusServer(private val loop: GatewayLoop, private val source: StatusSource) {
    /** Starts to listen at [address]. */
    fun listen(address: Address) {
        ServerBootstrap().group(loop.group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) {
                        channel.pipeline().addLast(HttpServerCodec(), HttpObjectAggregator(LARGEST_REQUEST), Handler())
                    }
                },
            )
            .bind(address.host, address.port)
            .syncUninterruptibly()
    }

    private inner class Handler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val (status, text) = answer(request.uri().substringBefore('?'))
            val body = text.toByteArray()
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body))
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain")
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size.toString())
            val keepAlive = HttpUtil.isKeepAlive(request)
            HttpUtil.setKeepAlive(response, keepAlive)
            val written = context.writeAndFlush(response)
            if (!keepAlive) written.addListener { context.close() }
        }

        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }

        private fun answer(path: String): Pair<HttpResponseStatus, String> = when {
            path == "/metrics" -> HttpResponseStatus.OK to source.metrics()
            path != "/ready" -> HttpResponseStatus.NOT_FOUND to "not found\n"
            source.ready -> HttpResponseStatus.OK to "ready\n"
            else -> HttpResponseStatus.SERVICE_UNAVAILABLE to "not ready\n"
        }
    }

    private companion object {
        const val LARGEST_REQUEST = 64 shl 10
    }
}
