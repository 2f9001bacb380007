package boragering.gateway

import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import java.io.ByteArrayOutputStream

/** The result of adding a part of a request. */
internal sealed interface AssemblyResult {
    /** More parts follow. */
    data object Incomplete : AssemblyResult

    /** The request is complete. */
    class Complete(val request: ReceivedRequest) : AssemblyResult

    /** The body exceeds the limit. */
    data object TooLarge : AssemblyResult
}

/** Assembles requests from their parts, one request at a time. Not thread safe. */
internal class RequestAssembler {
    private var head: HttpRequest? = null
    private val body = ByteArrayOutputStream()

    fun begin(request: HttpRequest) {
        head = request
        body.reset()
    }

    /** Adds [content] to the body, which may have [limit] bytes at most. */
    fun add(content: HttpContent, limit: Int): AssemblyResult {
        val request = head
        val bytes = content.content()
        return when {
            request == null -> AssemblyResult.Incomplete
            body.size() + bytes.readableBytes() > limit -> AssemblyResult.TooLarge
            else -> {
                if (bytes.isReadable) body.write(ByteBufUtil.getBytes(bytes))
                if (content is LastHttpContent) complete(request) else AssemblyResult.Incomplete
            }
        }
    }

    private fun complete(request: HttpRequest): AssemblyResult {
        head = null
        val keepAlive = HttpUtil.isKeepAlive(request)
        return AssemblyResult.Complete(
            ReceivedRequest(request.method(), request.uri(), request.headers(), body.toByteArray(), keepAlive),
        )
    }
}
