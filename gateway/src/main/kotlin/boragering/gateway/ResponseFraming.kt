package boragering.gateway

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse

/**
 * Detects responses that run into one another. A faulty target may send the beginning of a response that belongs to no
 * request; the decoder then reads the next response as its continuation.
 */
internal object ResponseFraming {
    private const val VERSION = "HTTP/1."
    private val VERSION_BYTES = VERSION.toByteArray()

    /** A status line up to its status, which may be one that no response can have, such as 600. */
    private val STATUS_LINE = Regex("HTTP/1\\.[01] [0-9]{3}")

    /** Number of bytes of a status line up to its status. */
    const val STATUS_LINE_PREFIX_BYTES = 12

    /** Number of bytes in which the head of a repeated response is expected to name its request. */
    private const val MAX_HEAD_BYTES = 4 shl 10

    /** Whether the head of [response] contains the status line of another one. */
    fun containsStatusLine(response: HttpResponse): Boolean =
        containsStatusLine(response.status().reasonPhrase()) ||
            response.headers().iteratorCharSequence().asSequence()
                .any { containsStatusLine(it.key) || containsStatusLine(it.value) }

    /** Whether [text] contains a status line. A regular expression reads a string faster than Netty's text types. */
    fun containsStatusLine(text: CharSequence): Boolean =
        VERSION in text.toString() && STATUS_LINE.containsMatchIn(text)

    /** Whether [content] begins with a status line. */
    fun startsWithStatusLine(content: HttpContent): Boolean {
        val bytes = content.content()
        val length = minOf(bytes.readableBytes(), STATUS_LINE_PREFIX_BYTES)
        return STATUS_LINE.matchesAt(bytes.toString(bytes.readerIndex(), length, Charsets.ISO_8859_1), 0)
    }

    /**
     * Whether [bytes], a part of a response's body, contain the head of a response with a [requestIdHeader]: a target
     * broke off a response and wrote another one on the same connection, which may be that to an earlier request.
     */
    fun containsHead(bytes: ByteArray, requestIdHeader: String): Boolean {
        var start = indexOfVersion(bytes, from = 0)
        while (start >= 0) {
            val head = String(bytes, start, minOf(bytes.size - start, MAX_HEAD_BYTES), Charsets.ISO_8859_1)
            if (STATUS_LINE.matchesAt(head, 0) && head.contains("$requestIdHeader:", ignoreCase = true)) return true
            start = indexOfVersion(bytes, start + 1)
        }
        return false
    }

    /** Index of the next HTTP version in [bytes]; -1 if there is none. Called for each event, so without a copy. */
    private fun indexOfVersion(bytes: ByteArray, from: Int): Int {
        for (index in from..bytes.size - VERSION_BYTES.size) {
            if (bytes[index] == VERSION_BYTES[0] && startsVersion(bytes, index)) return index
        }
        return -1
    }

    private fun startsVersion(bytes: ByteArray, start: Int): Boolean =
        VERSION_BYTES.indices.all { bytes[start + it] == VERSION_BYTES[it] }
}
