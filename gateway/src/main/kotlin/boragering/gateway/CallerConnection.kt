package boragering.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Notes when bytes arrive, before they are decoded. */
internal class ArrivalWatch(private val state: GatewayState) : ChannelInboundHandlerAdapter() {
    /** When the first byte after the last whole request arrived; `null` when there is none. */
    var requestSince: Duration? = null

    /** When the last byte arrived. */
    var heardAt = state.now()
        private set

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf && message.isReadable) {
            heardAt = state.now()
            if (requestSince == null) requestSince = heardAt
        }
        context.fireChannelRead(message)
    }
}

/**
 * One connection of a caller. Requests are answered one after the other, in the order in which they came. Runs on the
 * event loop.
 */
internal class CallerConnection(
    private val state: GatewayState,
    private val channel: Channel,
    private val arrivals: ArrivalWatch,
    private val onClosed: (CallerConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private val assembler = RequestAssembler()
    private val reader = RequestReader(state.names, state.ports.random)
    private val waiting = ArrayDeque<ReceivedRequest>()
    private var exchange: Exchange? = null
    private var answering = false
    private var closing = false
    private var idleSince = state.now()
    private var headComplete = false

    /** Whether no request is being received or answered. */
    val idle: Boolean get() = !answering && waiting.isEmpty() && arrivals.requestSince == null

    /** Looks at [now] whether the caller takes too long to send a request, or has been idle too long. */
    fun check(now: Duration) {
        val limits = state.routes?.limits ?: return
        val since = arrivals.requestSince
        when {
            answering || closing -> Unit
            since == null -> if (now - idleSince >= limits.idleTimeout) close()
            headComplete && now - arrivals.heardAt >= limits.idleTimeout -> refuseAndClose(Refusal.TooSlow())
            !headComplete && now - since >= limits.headerTimeout -> refuseAndClose(Refusal.TooSlow())
        }
    }

    /** Closes the connection if it is idle. */
    fun closeIfIdle() {
        if (idle) close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (closing) return
            if (message is HttpRequest) begin(message)
            if (message is HttpContent && !closing) add(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        closing = true
        waiting.clear()
        exchange?.callerLeft()
        exchange = null
        onClosed(this)
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        exchange?.callerWritable(channel.isWritable)
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        state.log.state("caller-connection-failed", "reason" to cause)
        channel.close()
    }

    private fun begin(request: HttpRequest) {
        val problem = request.decoderResult().cause()
        when {
            problem is TooLongHttpHeaderException || problem is TooLongHttpLineException ->
                refuseAndClose(Refusal.HeadersTooLarge())
            problem != null -> refuseAndClose(Refusal.Malformed("the request cannot be read"))
            else -> {
                headComplete = true
                assembler.begin(request)
                if (HttpUtil.is100ContinueExpected(request) && !answering) continueBody()
            }
        }
    }

    private fun continueBody() {
        channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
    }

    private fun add(content: HttpContent) {
        if (content.decoderResult().isFailure) {
            refuseAndClose(Refusal.Malformed("the body cannot be read"))
            return
        }
        when (val assembled = assembler.add(content, state.routes?.limits?.bodyBytes ?: UNCONFIGURED_BODY)) {
            Assembled.Incomplete -> Unit
            Assembled.TooLarge -> refuseAndClose(Refusal.BodyTooLarge())
            is Assembled.Whole -> received(assembled.request)
        }
    }

    private fun received(request: ReceivedRequest) {
        headComplete = false
        arrivals.requestSince = null
        waiting.addLast(request)
        if (waiting.size >= MOST_WAITING) channel.config().isAutoRead = false
        next()
    }

    private fun next() {
        if (answering || closing) return
        val request = waiting.removeFirstOrNull() ?: return
        channel.config().isAutoRead = true
        answering = true
        val writer = AnswerWriter(channel, request, { state.draining }) { keepOpen -> answered(keepOpen) }
        val routes = state.routes
        if (routes == null) {
            writer.refuse(Refusal.Unavailable("no configuration is known", Refusal.soon(state.ports.random)))
        } else {
            reader.read(request, routes, state.now()).fold(
                { refusal ->
                    logRefusal(request, refusal)
                    writer.refuse(refusal)
                },
                { routed ->
                    val started = Exchange(state, routed, writer)
                    exchange = started
                    started.start()
                },
            )
        }
    }

    private fun logRefusal(request: ReceivedRequest, refusal: Refusal) {
        state.ports.metrics.ended("none", refusal.status, "refused", Duration.ZERO)
        state.log.state(
            "request-refused",
            "request" to request.headers.get(state.names.requestId),
            "status" to refusal.status,
            "reason" to refusal.reason,
            "configuration" to state.routes?.version,
        )
    }

    private fun answered(keepOpen: Boolean) {
        exchange = null
        answering = false
        idleSince = state.now()
        if (keepOpen) next() else close()
    }

    private fun refuseAndClose(refusal: Refusal) {
        if (answering) {
            // The answer in progress would be mixed up with the refusal.
            exchange?.callerLeft()
            channel.close()
            return
        }
        closing = true
        val empty = ReceivedRequest(NO_METHOD, "/", NO_HEADERS, ByteArray(0), keepAlive = false)
        AnswerWriter(channel, empty, { true }) { close() }.refuse(refusal)
    }

    /** Lets the caller read what was written; closing with unread bytes would reset the connection. */
    private fun close() {
        closing = true
        if (channel is DuplexChannel && channel.isActive) {
            channel.shutdownOutput()
            state.ports.loop.after(LINGER) { channel.close() }
        } else {
            channel.close()
        }
    }

    private companion object {
        val NO_METHOD: io.netty.handler.codec.http.HttpMethod = io.netty.handler.codec.http.HttpMethod.GET
        val NO_HEADERS: io.netty.handler.codec.http.HttpHeaders = io.netty.handler.codec.http.EmptyHttpHeaders.INSTANCE

        /** Requests that a caller may send ahead. */
        const val MOST_WAITING = 4
        const val UNCONFIGURED_BODY = 1 shl 20
        val LINGER = 500.milliseconds
    }
}
