package boragering.gateway

import io.netty.handler.codec.http.HttpContent

/**
 * Searches the body of one response for the status line of another one, which may be split between two reads. A body
 * that quotes a status line cannot be told from this.
 */
internal class StatusLineSearch {
    private var tail = ""

    /** Begins with the body of the next response. */
    fun restart() {
        tail = ""
    }

    /** Adds [content], the next part of the body. Returns whether the body contains a status line. */
    fun append(content: HttpContent): Boolean {
        val text = tail + content.content().toString(Charsets.ISO_8859_1)
        tail = text.takeLast(ResponseFraming.STATUS_LINE_PREFIX_BYTES - 1)
        return ResponseFraming.containsStatusLine(text)
    }
}
