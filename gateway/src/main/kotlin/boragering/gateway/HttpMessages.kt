package boragering.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import java.util.Locale

/** A whole request as it was received. */
internal class ReceivedRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val keepAlive: Boolean,
) {
    /** The path without the query. */
    val path: String get() = uri.substringBefore('?')
}

/** Status and headers of a target's answer. */
internal class ResponseHead(val status: Int, val reason: String, val headers: HttpHeaders)

/** Header rules of HTTP that hold for every hop. */
internal object HopByHop {
    private val CONNECTION_HEADERS =
        setOf(
            "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
            "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect",
        )

    /** Copies all headers of [from] that concern more than one connection, except [without] (in lower case). */
    fun copyEndToEndHeaders(from: HttpHeaders, to: HttpHeaders, without: Set<String> = emptySet()) {
        val named = from.getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }
            .mapTo(HashSet()) { it.trim().lowercase(Locale.ROOT) }
        for ((name, value) in from.iteratorAsString().asSequence()) {
            val key = name.lowercase(Locale.ROOT)
            if (key !in CONNECTION_HEADERS && key !in named && key !in without) to.add(name, value)
        }
    }

    /** Whether the message has a body whose length or end is stated. */
    fun hasDelimitedBody(headers: HttpHeaders): Boolean =
        headers.contains(HttpHeaderNames.CONTENT_LENGTH) || isChunked(headers)

    /** Whether the body is sent in chunks. */
    fun isChunked(headers: HttpHeaders): Boolean =
        headers.containsValue(HttpHeaderNames.TRANSFER_ENCODING, "chunked", true)
}
