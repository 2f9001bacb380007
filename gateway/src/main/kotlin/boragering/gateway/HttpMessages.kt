package boragering.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.util.AsciiString

/**
 * A complete request of a caller, with its body.
 *
 * @property memory the memory of the body; `null` if there is none.
 */
internal class ReceivedRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val keepAlive: Boolean,
    val memory: MemoryShare? = null,
) {
    /** The path without the query. */
    val path: String get() = uri.substringBefore('?')
}

/** Status line and headers of a target's response. */
internal class ResponseHead(val status: Int, val reason: String, val headers: HttpHeaders)

/** HTTP rules for hop-by-hop headers and message framing. */
internal object HopByHop {
    private val CONNECTION_HEADERS = listOf(
        "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
        "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect",
    ).map { AsciiString(it) }

    /**
     * Copies the end-to-end headers of [from] to [to], which is empty, except those named by [without]. Names that are
     * removed cost less than names that are compared: both tables keep the hash values.
     */
    fun copyEndToEndHeaders(from: HttpHeaders, to: HttpHeaders, without: List<AsciiString> = emptyList()) {
        to.add(from)
        from.getAll(HttpHeaderNames.CONNECTION).forEach { line -> line.split(',').forEach { to.remove(it.trim()) } }
        CONNECTION_HEADERS.forEach { to.remove(it) }
        without.forEach { to.remove(it) }
    }

    /** Whether the end of the body can be told from the headers or the chunks, without the end of the connection. */
    fun hasDelimitedBody(headers: HttpHeaders): Boolean =
        headers.contains(HttpHeaderNames.CONTENT_LENGTH) || isChunked(headers)

    /** Whether the body is sent with the chunked transfer encoding. */
    fun isChunked(headers: HttpHeaders): Boolean =
        headers.containsValue(HttpHeaderNames.TRANSFER_ENCODING, "chunked", true)
}
