package boragering.gateway

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.LastHttpContent

/**
 * The answers on a connection that come before the one that is waited for: late ones to earlier requests, and
 * provisional ones. There are few of them; more may come without end. Used on the event loop only.
 */
internal class SkippedResponses {
    private var heads = 0
    private var bytes = 0

    /** Whether what comes next belongs to such an answer. */
    var inside = false
        private set

    /** One begins; why the connection is of no use any more, `null` while it is. */
    fun head(): String? {
        inside = true
        heads += 1
        return "more than $MOST_HEADS answers to no request".takeIf { heads > MOST_HEADS }
    }

    /** Part of its body came; why the connection is of no use any more, `null` while it is. */
    fun content(content: HttpContent): String? {
        bytes += content.content().readableBytes()
        if (content is LastHttpContent) inside = false
        return "more than $MOST_BYTES bytes of answers to no request".takeIf { bytes > MOST_BYTES }
    }

    private companion object {
        const val MOST_HEADS = 16
        const val MOST_BYTES = 8 shl 20
    }
}
