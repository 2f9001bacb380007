package boragering.gateway

import io.netty.handler.codec.PrematureChannelClosureException
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How the head of a response relates to the call in progress. */
internal sealed interface HeadClassification {
    /** The head begins the final response to the call. */
    data object Matching : HeadClassification

    /** The response is provisional (1xx) or belongs to an earlier request; the response to the call follows. */
    data object Skipped : HeadClassification

    /** The connection cannot deliver a valid response to the call. */
    data class Unusable(val failure: CallFailure) : HeadClassification
}

/**
 * The headers that identify a response.
 *
 * @property requestIdHeader repeats the request's id.
 * @property signatureHeader identifies the response as one of the instance; each success has it.
 */
internal class ResponseIdentity(val requestIdHeader: String, val signatureHeader: String)

/**
 * Matches the responses on a connection to calls, and tracks whether and how long the connection can be reused. Without
 * an [identity], responses have neither an id nor a signature.
 */
internal class ResponseClassifier(private val identity: ResponseIdentity?, private val decoder: TargetResponseDecoder) {
    /** Time for which the target keeps an idle connection open, less a safety margin. */
    var keepAliveTime = DEFAULT_KEEP_ALIVE
        private set

    /** Whether the connection can carry another call after the current response. */
    var reusable = true
        private set

    /** Whether the current response has an id; always if responses have none. */
    private var identified = true
    private var extraResponseSeen = false

    /** The header that was read last; a target sends the same one in all its responses. */
    private var keepAliveHeader: String? = null

    /** Classifies [response] with regard to the call with [requestId]. */
    fun classify(response: HttpResponse, requestId: String?): HeadClassification {
        val echoedId = identity?.let { response.headers().get(it.requestIdHeader) }
        val status = response.status().code()
        val defect = defect(response)
        return when {
            defect != null -> HeadClassification.Unusable(defect)
            status < FIRST_FINAL_STATUS -> HeadClassification.Skipped
            requestId != null && echoedId != null && echoedId != requestId -> {
                extraResponseSeen = true
                HeadClassification.Skipped
            }
            requestId != null && echoedId == null && status < FIRST_FAILURE_STATUS ->
                HeadClassification.Unusable(CallFailure.Lost("the response does not repeat the request id"))
            status < FIRST_FAILURE_STATUS && lacksSignature(response) ->
                HeadClassification.Unusable(CallFailure.Lost("the response is a success without a signature"))
            else -> HeadClassification.Matching
        }
    }

    /** Updates [reusable] and [keepAliveTime] from the headers of [response]. */
    fun readConnectionHeaders(response: HttpResponse) {
        val headers = response.headers()
        val bodiless = decoder.expectNoBody || response.status().code() in STATUSES_WITHOUT_BODY
        // A response without an id could be repeated later and be taken for the one to the next request.
        identified = identity == null || headers.contains(identity.requestIdHeader)
        val delimited = HopByHop.hasDelimitedBody(headers) || bodiless
        reusable = identified && delimited && !extraResponseSeen && HttpUtil.isKeepAlive(response)
        val keepAlive = headers.get("Keep-Alive")
        if (keepAlive != null && keepAlive != keepAliveHeader) {
            keepAliveTime = parseKeepAliveTimeout(keepAlive) ?: keepAliveTime
            keepAliveHeader = keepAlive
        }
    }

    /** Whether [content] shows that the current response, which has no id, is not the last one on the connection. */
    fun precedesAnother(content: HttpContent): Boolean {
        val followed = content is LastHttpContent && decoder.hasUndecodedBytes
        return !identified && (followed || ResponseFraming.startsWithStatusLine(content))
    }

    /** Why [response] cannot belong to any call; `null` if it can. No call asks for another protocol, as 101 says. */
    private fun defect(response: HttpResponse): CallFailure? {
        val status = response.status().code()
        return when {
            response.decoderResult().isFailure -> malformed(response.decoderResult().cause())
            ResponseFraming.containsStatusLine(response) ->
                CallFailure.Lost("the head runs into that of another response")
            status !in STATUSES || status == SWITCHING_PROTOCOLS ->
                CallFailure.Lost("$status is not the status of a response")
            else -> null
        }
    }

    private fun lacksSignature(response: HttpResponse): Boolean =
        identity != null && response.headers().get(identity.signatureHeader).isNullOrBlank()

    private fun malformed(cause: Throwable): CallFailure {
        val reason = "malformed response: $cause"
        val closed = cause is PrematureChannelClosureException
        return if (closed) CallFailure.Disconnected(reason) else CallFailure.Lost(reason)
    }

    private fun parseKeepAliveTimeout(header: String): Duration? =
        header.split(',').map { it.trim() }.firstOrNull { it.startsWith("timeout=") }
            ?.substringAfter('=')?.toIntOrNull()
            ?.let { (it.seconds - KEEP_ALIVE_MARGIN).coerceAtLeast(Duration.ZERO) }

    private companion object {
        val STATUSES = 100..599
        const val SWITCHING_PROTOCOLS = 101
        const val FIRST_FINAL_STATUS = 200
        const val FIRST_FAILURE_STATUS = 300
        val STATUSES_WITHOUT_BODY = setOf(204, 304)

        /** Used for targets that do not send a keep-alive timeout. */
        val DEFAULT_KEEP_ALIVE = 3.seconds

        /** Allows a request to reach the target before the target closes the idle connection. */
        val KEEP_ALIVE_MARGIN = 400.milliseconds
    }
}
