package boragering.gateway

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.LastHttpContent

/**
 * Tracks the responses on a connection that precede the expected one: late responses to earlier requests, and
 * provisional ones. Their number and size are limited, because a faulty target could send them without end. Used on the
 * event loop only.
 */
internal class SkippedResponses {
    private var responseCount = 0
    private var bytes = 0

    /** Whether the next content belongs to a skipped response. */
    var inProgress = false
        private set

    /** Counts the head of a skipped response. Returns the reason to close the connection if there are too many. */
    fun onHead(): String? {
        inProgress = true
        responseCount += 1
        return "more than $MAX_RESPONSES unexpected responses".takeIf { responseCount > MAX_RESPONSES }
    }

    /** Counts body bytes of a skipped response. Returns the reason to close the connection if there are too many. */
    fun onContent(content: HttpContent): String? {
        bytes += content.content().readableBytes()
        if (content is LastHttpContent) inProgress = false
        return "more than $MAX_BYTES bytes of unexpected responses".takeIf { bytes > MAX_BYTES }
    }

    private companion object {
        const val MAX_RESPONSES = 16
        const val MAX_BYTES = 8 shl 20
    }
}
