package boragering.gateway

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.util.Locale
import kotlin.time.DurationUnit

/**
 * Writes the response to one [request]. [onEnded] receives whether the connection can carry another request. It is not
 * called after [abort], which closes the connection at once.
 */
internal class ResponseWriter(
    private val channel: Channel,
    private val request: ReceivedRequest,
    backlog: StreamBacklog,
    private val draining: () -> Boolean,
    private val onEnded: (Boolean) -> Unit,
) : CallerResponse {
    private var keepOpen = false

    override val events = StreamWriter(channel, backlog)

    override fun sendComplete(head: ResponseHead, body: ResponseBody) {
        val withBody = request.method != HttpMethod.HEAD && head.status !in STATUSES_WITHOUT_BODY
        val content = Unpooled.wrappedBuffer(if (withBody) body.bytes else ByteArray(0))
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status(head), content)
        HopByHop.copyEndToEndHeaders(head.headers, response.headers())
        if (withBody) response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.bytes.size.toString())
        if (request.method == HttpMethod.HEAD) {
            head.headers.get(HttpHeaderNames.CONTENT_LENGTH)
                ?.let { response.headers().set(HttpHeaderNames.CONTENT_LENGTH, it) }
        }
        writeAndEnd(response) { body.release() }
    }

    override fun refuse(refusal: Refusal) {
        val body = "${refusal.reason}\n".toByteArray()
        val content = Unpooled.wrappedBuffer(body)
        val response =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(refusal.status), content)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain")
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size.toString())
        refusal.retryAfter?.let {
            val seconds = String.format(Locale.ROOT, "%.2f", it.toDouble(DurationUnit.SECONDS))
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds)
        }
        writeAndEnd(response)
    }

    override fun beginStream(head: ResponseHead) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status(head))
        HopByHop.copyEndToEndHeaders(head.headers, response.headers())
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        setConnectionHeader(response)
        channel.write(response)
    }

    override fun endStream() {
        val memory = events.addRest()
        val written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        if (memory != null) written.addListener { memory.release() }
        onEnded(keepOpen)
    }

    override fun abort() {
        events.flush()
        channel.close()
    }

    private fun writeAndEnd(response: HttpResponse, onWritten: () -> Unit = {}) {
        setConnectionHeader(response)
        channel.writeAndFlush(response).addListener {
            onWritten()
            // The caller would wait for the rest of a response that could not be written.
            if (!it.isSuccess) channel.close()
        }
        onEnded(keepOpen)
    }

    private fun setConnectionHeader(response: HttpResponse) {
        keepOpen = request.keepAlive && !draining()
        HttpUtil.setKeepAlive(response, keepOpen)
    }

    private fun status(head: ResponseHead): HttpResponseStatus = HttpResponseStatus(head.status, head.reason)

    private companion object {
        val STATUSES_WITHOUT_BODY = setOf(204, 304)
    }
}
