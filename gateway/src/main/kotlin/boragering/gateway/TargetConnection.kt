package boragering.gateway

import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.IOException
import kotlin.time.Duration

/** One connection to a target, which carries one call at a time. Runs on the event loop. */
internal class TargetConnection(
    private val pool: ConnectionPool,
    val channel: Channel,
    private val decoder: TargetResponseDecoder,
) : ChannelInboundHandlerAdapter() {
    private val classifier = ResponseClassifier(pool.identity, decoder)
    private var call: TargetCall? = null
    private var skipped = SkippedResponses()
    private var failed = false
    private var writeFuture: ChannelFuture? = null

    /** When the last call ended. */
    var idleSince = Duration.ZERO
        private set

    /** Whether the connection is open and carries no call. */
    val idle: Boolean get() = channel.isActive && call == null

    /** Time for which the target keeps the connection open while it is idle. */
    val keepAliveTime: Duration get() = classifier.keepAliveTime

    /** Sends the request of [next]. */
    fun start(next: TargetCall) {
        call = next
        skipped = SkippedResponses()
        decoder.expectNoBody = next.request.method().name() == "HEAD"
        decoder.expectResponse = true
        writeFuture = channel.writeAndFlush(next.request).addListener {
            val unwritten = !it.isSuccess && channel.isActive && call === next
            if (unwritten) fail(CallFailure.Lost("the request could not be written: ${it.cause()}"))
        }
    }

    /** Cancels [ended] by closing the connection, which the target notices. */
    fun cancel(ended: TargetCall) {
        if (call !== ended) return
        call = null
        channel.close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpResponse) onHead(message)
            if (message is HttpContent) onContent(message)
            if (call?.accepting == false) channel.config().isAutoRead = false
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        call?.onReadComplete()
    }

    @Deprecated("Deprecated in Netty, which still calls it")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        failed = true
        val reason = "${cause.javaClass.simpleName}: ${cause.message}"
        fail(if (cause is IOException) CallFailure.Disconnected(reason) else CallFailure.Lost(reason))
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        fail(CallFailure.Disconnected("the connection closed before the response was complete"))
    }

    private fun onHead(response: HttpResponse) {
        val current = call
        if (current == null) {
            // Bytes that follow a complete response belong to no request.
            channel.close()
            return
        }
        when (val classification = classifier.classify(response, current.requestId)) {
            HeadClassification.Skipped -> skipped.onHead()?.let { fail(CallFailure.Lost(it)) }
            is HeadClassification.Unusable -> fail(classification.failure)
            HeadClassification.Matching -> {
                classifier.readConnectionHeaders(response)
                val status = response.status()
                current.onHead(ResponseHead(status.code(), status.reasonPhrase(), response.headers()))
            }
        }
    }

    private fun onContent(content: HttpContent) {
        val current = call ?: return
        when {
            content.decoderResult().isFailure ->
                fail(CallFailure.Lost("the body cannot be read: ${content.decoderResult().cause()}"))
            skipped.inProgress -> skipped.onContent(content)?.let { fail(CallFailure.Lost(it)) }
            classifier.precedesAnother(content) ->
                fail(CallFailure.Lost("another response follows one without an id, which may belong to no request"))
            else -> forward(current, content)
        }
    }

    private fun forward(current: TargetCall, content: HttpContent) {
        if (content.content().isReadable) current.onContent(ByteBufUtil.getBytes(content.content()))
        if (call === current) current.defect?.let { return fail(CallFailure.Lost(it)) }
        // The decoder also ends a body without a length when the connection is reset, which is a failure.
        if (content !is LastHttpContent || call !== current || failed) return
        call = null
        decoder.expectResponse = false
        idleSince = pool.now()
        current.onEnd()
        // A caller that reads slowly has paused the reading of its own response only.
        channel.config().isAutoRead = true
        // What the last call wrote and received has to be complete before the connection can carry another one.
        val reusable = classifier.reusable && writeFuture?.isSuccess == true && !decoder.hasUndecodedBytes
        if (reusable) pool.release(this) else channel.close()
    }

    private fun fail(failure: CallFailure) {
        val current = call
        call = null
        channel.close()
        current?.onFailure(failure)
    }
}
