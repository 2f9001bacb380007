package boragering.gateway

import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import java.io.ByteArrayOutputStream

/** What a part of a request completes. */
internal sealed interface Assembled {
    /** More parts follow. */
    data object Incomplete : Assembled

    /** The request is whole. */
    class Whole(val request: ReceivedRequest) : Assembled

    /** The body exceeds the limit. */
    data object TooLarge : Assembled
}

/** Collects the parts of one request after another. Not safe for use by several threads. */
internal class RequestAssembler {
    private var head: HttpRequest? = null
    private val body = ByteArrayOutputStream()

    fun begin(request: HttpRequest) {
        head = request
        body.reset()
    }

    /** Adds [content]; the body may have [limit] bytes. */
    fun add(content: HttpContent, limit: Int): Assembled {
        val request = head
        val bytes = content.content()
        return when {
            request == null -> Assembled.Incomplete
            body.size() + bytes.readableBytes() > limit -> Assembled.TooLarge
            else -> {
                if (bytes.isReadable) body.write(ByteBufUtil.getBytes(bytes))
                if (content is LastHttpContent) whole(request) else Assembled.Incomplete
            }
        }
    }

    private fun whole(request: HttpRequest): Assembled {
        head = null
        val keepAlive = HttpUtil.isKeepAlive(request)
        return Assembled.Whole(
            ReceivedRequest(request.method(), request.uri(), request.headers(), body.toByteArray(), keepAlive),
        )
    }
}
