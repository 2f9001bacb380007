package boragering.gateway

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpUtil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Decodes answers; the one to a HEAD request has no body whatever its headers say. */
internal class TargetResponseDecoder : HttpResponseDecoder() {
    /** Whether the next answer has no body. */
    var expectNoBody = false

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        expectNoBody || super.isContentAlwaysEmpty(message)
}

/** What the head of an answer is to a call. */
internal sealed interface HeadClassification {
    /** It begins the answer. */
    data object Matching : HeadClassification

    /** It belongs to an earlier request, or the answer proper follows. */
    data object Skipped : HeadClassification

    /** The call has no answer on this connection. */
    data class Unusable(val reason: String) : HeadClassification
}

/** Finds out whether answers belong to the calls of a connection, and how long the connection may be used. */
internal class ResponseClassifier(private val requestIdHeader: String?, private val decoder: TargetResponseDecoder) {
    /** Time for which the target keeps the connection open without a request. */
    var keepAliveTime = DEFAULT_KEEP_ALIVE
        private set

    /** Whether the connection can carry another call after the present answer. */
    var reusable = true
        private set

    /** What [response] is to the call with [requestId]. */
    fun classify(response: HttpResponse, requestId: String?): HeadClassification {
        val echoedId = requestIdHeader?.let { response.headers().get(it) }
        val status = response.status().code()
        return when {
            response.decoderResult().isFailure ->
                HeadClassification.Unusable("what came is no answer: ${response.decoderResult().cause()}")
            status < FIRST_FINAL_STATUS -> HeadClassification.Skipped
            requestId != null && echoedId != null && echoedId != requestId -> HeadClassification.Skipped
            requestId != null && echoedId == null && status < FIRST_FAILURE_STATUS ->
                HeadClassification.Unusable("the answer does not name the request")
            else -> HeadClassification.Matching
        }
    }

    /** Reads what [response] says of the connection. */
    fun readConnectionHeaders(response: HttpResponse) {
        val headers = response.headers()
        val bodiless = decoder.expectNoBody || response.status().code() in STATUSES_WITHOUT_BODY
        reusable = HttpUtil.isKeepAlive(response) && (HopByHop.hasDelimitedBody(headers) || bodiless)
        headers.get("Keep-Alive")?.let { keepAliveTime = parseKeepAliveTimeout(it) ?: keepAliveTime }
    }

    private fun parseKeepAliveTimeout(header: String): Duration? =
        header.split(',').map { it.trim() }.firstOrNull { it.startsWith("timeout=") }
            ?.substringAfter('=')?.toIntOrNull()
            ?.let { (it.seconds - KEEP_ALIVE_MARGIN).coerceAtLeast(Duration.ZERO) }

    private companion object {
        const val FIRST_FINAL_STATUS = 200
        const val FIRST_FAILURE_STATUS = 300
        val STATUSES_WITHOUT_BODY = setOf(204, 304)

        /** For targets that do not say how long they keep an idle connection. */
        val DEFAULT_KEEP_ALIVE = 3.seconds

        /** Time for a request to reach the target before it closes the idle connection. */
        val KEEP_ALIVE_MARGIN = 400.milliseconds
    }
}
