package boragering.gateway

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.LastHttpContent

/**
 * Tracks the responses on a connection that precede the expected one: late responses to earlier requests, and
 * provisional ones. Their number and size are limited, because a faulty target could send them without end. If one
 * breaks off, the expected response would be read as its body, and the call would wait for its deadline; the head of
 * that response in the body ends the connection instead. Used on the event loop only.
 */
internal class SkippedResponses {
    private var responseCount = 0
    private var bytes = 0
    private val statusLines = StatusLineSearch()

    /** Whether the next content belongs to a skipped response. */
    var inProgress = false
        private set

    /** Counts the head of a skipped response. Returns the reason to close the connection if there are too many. */
    fun onHead(): String? {
        inProgress = true
        statusLines.restart()
        responseCount += 1
        return "more than $MAX_RESPONSES unexpected responses".takeIf { responseCount > MAX_RESPONSES }
    }

    /** Counts body bytes of a skipped response. Returns the reason to close the connection if they are not usable. */
    fun onContent(content: HttpContent): String? {
        bytes += content.content().readableBytes()
        if (content is LastHttpContent) inProgress = false
        return when {
            bytes > MAX_BYTES -> "more than $MAX_BYTES bytes of unexpected responses"
            statusLines.append(content) -> "an unexpected response broke off and was followed by another one"
            else -> null
        }
    }

    private companion object {
        const val MAX_RESPONSES = 16
        const val MAX_BYTES = 8 shl 20
    }
}
