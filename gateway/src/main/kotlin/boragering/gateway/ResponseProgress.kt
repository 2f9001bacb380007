package boragering.gateway

import kotlin.random.Random
import kotlin.time.Duration

/** Tracks the response that the caller of one request has received so far. Runs on the event loop. */
internal class ResponseProgress(private val response: CallerResponse, private val random: Random, lastEventId: Long?) {
    private var failure: TargetFailure? = null
    private var allEventsHaveIds = true

    /** Whether at least one event was forwarded to the caller. */
    var streaming = false
        private set

    /** Id of the last event that the caller has received; `null` if there is none. */
    var lastEventId = lastEventId
        private set

    /** Whether another target can continue the stream, which requires that every forwarded event had an id. */
    val resumable: Boolean get() = !streaming || allEventsHaveIds

    /** Forwards an event unless the caller already has it. Returns whether it is the first event of the response. */
    fun forwardEvent(head: ResponseHead, bytes: ByteArray, id: Long?): Boolean {
        val lastId = lastEventId
        if (id != null && lastId != null && id <= lastId) return false
        val first = !streaming
        if (first) response.beginStream(head)
        streaming = true
        if (id == null) allEventsHaveIds = false else lastEventId = id
        response.events.add(bytes)
        return first
    }

    /** Ends the stream as complete. */
    fun endStream(head: ResponseHead) {
        if (!streaming) response.beginStream(head)
        response.endStream()
    }

    /** Forwards a complete response. */
    fun forwardComplete(head: ResponseHead, body: ResponseBody) = response.sendComplete(head, body)

    /** Keeps a target's 5xx response, which is forwarded only if no other target answers. */
    fun keepFailure(head: ResponseHead, body: ResponseBody) {
        dropFailure()
        failure = TargetFailure(head, body)
    }

    /** Drops the failure that is kept, if there is one. */
    fun dropFailure() {
        failure?.body?.release()
        failure = null
    }

    /**
     * Ends the response because no target can complete it, or none will before [waitTime]. Returns the outcome and the
     * status sent to the caller.
     */
    fun failRequest(reason: String, mayHaveRun: Boolean, waitTime: Duration? = null): ExchangeResult {
        val targetFailure = failure
        return when {
            streaming -> abortStream()
            targetFailure != null ->
                ExchangeResult("target-failed", targetFailure.head.status).also {
                    failure = null
                    response.sendComplete(targetFailure.head, targetFailure.body)
                }
            mayHaveRun -> refuse(Refusal.Failed(reason))
            else -> refuse(Refusal.Unavailable(reason, Refusal.soon(random) + (waitTime ?: Duration.ZERO)))
        }
    }

    /** Ends the response before the request was sent, because it will not be sent before [retryAfter]. */
    fun refuseUnsent(reason: String, retryAfter: Duration): ExchangeResult =
        refuse(Refusal.Unavailable(reason, retryAfter))

    /** Ends the response because the deadline of the request has passed. */
    fun timeOut(mayHaveRun: Boolean): ExchangeResult = when {
        streaming -> abortStream()
        mayHaveRun -> refuse(Refusal.TimedOut("no answer in time"))
        else -> refuse(Refusal.Unavailable("not sent in time", retryAfter = null))
    }

    private fun abortStream(): ExchangeResult {
        response.abort()
        return ExchangeResult("stream-broken", NO_STATUS)
    }

    private fun refuse(refusal: Refusal): ExchangeResult {
        response.refuse(refusal)
        return ExchangeResult("refused", refusal.status, refusal.reason)
    }

    private class TargetFailure(val head: ResponseHead, val body: ResponseBody)

    private companion object {
        const val NO_STATUS = 0
    }
}

/**
 * The result of one request.
 *
 * @property status HTTP status sent to the caller; 0 if the connection was closed instead.
 * @property reason why the gateway refused the request; `null` if it did not.
 */
internal data class ExchangeResult(val outcome: String, val status: Int, val reason: String? = null)
