package boragering.gateway

import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Decodes answers; the one to a HEAD request has no body whatever its headers say. */
internal class AnswerDecoder : HttpResponseDecoder() {
    /** Whether the next answer has no body. */
    var withoutBody = false

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        withoutBody || super.isContentAlwaysEmpty(message)
}

/** One connection to a target; it carries one call at a time. */
internal class TargetConnection(
    private val pool: TargetPool,
    private val channel: Channel,
    private val decoder: AnswerDecoder,
) : ChannelInboundHandlerAdapter() {
    private var call: TargetCall? = null
    private var skipping = false
    private var failed = false
    private var reusable = true
    private var written: ChannelFuture? = null
    private var keepAliveTime = DEFAULT_KEEP_ALIVE

    /** When the last call ended, by the monotonic clock. */
    var idleSince = Duration.ZERO
        private set

    /** Whether a call that starts at [now] can use this connection. */
    fun usable(now: Duration, limit: Duration?): Boolean {
        val idle = now - idleSince
        return channel.isActive && call == null && idle < keepAliveTime && (limit == null || idle < limit)
    }

    /** Sends the request of [next]. */
    fun start(next: TargetCall) {
        call = next
        skipping = false
        decoder.withoutBody = next.request.method().name() == "HEAD"
        written = channel.writeAndFlush(next.request)
    }

    /** Ends [ended] without an answer; the target sees the connection close. */
    fun cancel(ended: TargetCall) {
        if (call !== ended) return
        call = null
        channel.close()
    }

    /** Stops or resumes reading, so that a slow reader of the answer bounds the memory that it takes. */
    fun reading(on: Boolean) {
        channel.config().isAutoRead = on
    }

    fun close() {
        channel.close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpResponse) head(message)
            if (message is HttpContent) content(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        failed = true
        fail("${cause.javaClass.simpleName}: ${cause.message}")
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        fail("the connection closed before the answer was complete")
        pool.closed(this)
    }

    private fun head(response: HttpResponse) {
        val current = call
        val expected = current?.requestId
        val echoed = pool.requestIdHeader?.let { response.headers().get(it) }
        when {
            current == null -> channel.close()
            response.decoderResult().isFailure -> fail("what came is no answer: ${response.decoderResult().cause()}")
            response.status().code() < FIRST_FINAL_STATUS -> skipping = true
            expected != null && echoed != null && echoed != expected -> skipping = true
            expected != null && echoed == null && response.status().code() < FIRST_FAILURE_STATUS ->
                fail("the answer does not name the request")
            else -> accept(current, response)
        }
    }

    private fun accept(current: TargetCall, response: HttpResponse) {
        skipping = false
        val headers = response.headers()
        reusable = HttpUtil.isKeepAlive(response) && (Hop.framed(headers) || decoder.withoutBody || empty(response))
        headers.get("Keep-Alive")?.let { keepAliveTime = keepAlive(it) ?: keepAliveTime }
        current.onHead(AnswerHead(response.status().code(), response.status().reasonPhrase(), headers))
    }

    private fun empty(response: HttpResponse): Boolean = response.status().code().let { it == NO_CONTENT || it == NOT_MODIFIED }

    private fun content(content: HttpContent) {
        val current = call ?: return
        when {
            content.decoderResult().isFailure -> fail("the body cannot be read: ${content.decoderResult().cause()}")
            skipping -> if (content is LastHttpContent) skipping = false
            else -> pass(current, content)
        }
    }

    private fun pass(current: TargetCall, content: HttpContent) {
        if (content.content().isReadable) current.onContent(ByteBufUtil.getBytes(content.content()))
        if (content is LastHttpContent && call === current && !failed) {
            call = null
            idleSince = pool.now()
            val whole = reusable && written?.isSuccess == true
            if (whole) pool.release(this) else channel.close()
            current.onEnd()
        }
    }

    private fun fail(reason: String) {
        val current = call
        call = null
        channel.close()
        current?.onFailure(CallFailure.Lost(reason))
    }

    private fun keepAlive(header: String): Duration? =
        header.split(',').map { it.trim() }.firstOrNull { it.startsWith("timeout=") }
            ?.substringAfter('=')?.toIntOrNull()
            ?.let { (it.seconds - KEEP_ALIVE_MARGIN).coerceAtLeast(Duration.ZERO) }

    private companion object {
        const val FIRST_FINAL_STATUS = 200
        const val FIRST_FAILURE_STATUS = 300
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304

        /** For targets that do not say how long they keep an idle connection. */
        val DEFAULT_KEEP_ALIVE = 3.seconds

        /** Time for a request to reach the target before it closes the idle connection. */
        val KEEP_ALIVE_MARGIN = 400.milliseconds
    }
}
