package boragering.gateway

import io.netty.handler.codec.http.HttpContent

/** Searches the body of one response for the status line of another one, which may be split between two reads. */
internal class HeadSearch {
    private var tail = ""

    /** Begins with the body of the next response. */
    fun restart() {
        tail = ""
    }

    /** Whether [content], with what came before it, contains a status line. */
    fun findIn(content: HttpContent): Boolean {
        val text = tail + content.content().toString(Charsets.ISO_8859_1)
        tail = text.takeLast(ResponseFraming.STATUS_LINE_PREFIX_BYTES - 1)
        return ResponseFraming.containsStatusLine(text)
    }
}
