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
import kotlin.time.Duration

/** One connection to a target, which carries one call at a time. Runs on the event loop. */
internal class TargetConnection(
    private val pool: ConnectionPool,
    val channel: Channel,
    private val decoder: TargetResponseDecoder,
) : ChannelInboundHandlerAdapter() {
    private val classifier = ResponseClassifier(pool.identity, decoder)

    /** Handles the end of the connection. */
    val endHandler = ConnectionEndHandler(decoder, ::fail)
    private var call: TargetCall? = null
    private var skipped = SkippedResponses()
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
        writeFuture = channel.writeAndFlush(next.request).addListener { future ->
            val failure = future.cause()
            if (failure != null && call === next && endHandler.onWriteFailure(failure)) setReading(true)
        }
    }

    /**
     * Pauses or resumes the reading of the response. After a failed write everything is read, which fits into the
     * socket's buffer: until its end is read, such a socket keeps the event loop busy.
     */
    fun setReading(enabled: Boolean) {
        channel.config().isAutoRead = enabled || writeFuture?.cause() != null
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
            if (call?.accepting == false) setReading(false)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        call?.onReadComplete()
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
        if (content is LastHttpContent && call === current) end(current)
    }

    private fun end(current: TargetCall) {
        if (decoder.cutOff) return fail(ConnectionEndHandler.CLOSED)
        call = null
        decoder.expectResponse = false
        idleSince = pool.now()
        current.onEnd()
        // A caller that reads slowly has paused the reading of its own response only.
        setReading(true)
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
