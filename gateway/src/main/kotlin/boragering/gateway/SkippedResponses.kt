package boragering.gateway

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.LastHttpContent

/**
 * The answers on a connection that come before the one that is waited for: late ones to earlier requests, and
 * provisional ones. There are few of them; more may come without end. Used on the event loop only.
 */
internal class SkippedResponses {
    private var responseCount = 0
    private var bytes = 0

    /** Whether what comes next belongs to such an answer. */
    var inProgress = false
        private set

    /** One begins; why the connection is of no use any more, `null` while it is. */
    fun onHead(): String? {
        inProgress = true
        responseCount += 1
        return "more than $MAX_RESPONSES answers to no request".takeIf { responseCount > MAX_RESPONSES }
    }

    /** Part of its body came; why the connection is of no use any more, `null` while it is. */
    fun onContent(content: HttpContent): String? {
        bytes += content.content().readableBytes()
        if (content is LastHttpContent) inProgress = false
        return "more than $MAX_BYTES bytes of answers to no request".takeIf { bytes > MAX_BYTES }
    }

    private companion object {
        const val MAX_RESPONSES = 16
        const val MAX_BYTES = 8 shl 20
    }
}
