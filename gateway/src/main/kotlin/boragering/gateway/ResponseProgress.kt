package boragering.gateway

import kotlin.random.Random

/** What the caller of one request has received so far. Runs on the event loop. */
internal class ResponseProgress(private val response: CallerResponse, private val random: Random, lastEventId: Long?) {
    private var failure: TargetFailure? = null
    private var allEventsHaveIds = true

    /** Whether events were passed on. */
    var streaming = false
        private set

    /** Id of the last event that the caller has. */
    var lastEventId = lastEventId
        private set

    /** Whether the stream can go on at another target. */
    val resumable: Boolean get() = !streaming || allEventsHaveIds

    /** Whether the caller reads as fast as events come. */
    val writable: Boolean get() = response.writable

    /** Passes an event on unless the caller has it; whether it is the first one. */
    fun forwardEvent(head: ResponseHead, bytes: ByteArray, id: Long?): Boolean {
        val lastId = lastEventId
        if (id != null && lastId != null && id <= lastId) return false
        val first = !streaming
        if (first) response.beginStream(head)
        streaming = true
        if (id == null) allEventsHaveIds = false else lastEventId = id
        response.writeEvent(bytes)
        return first
    }

    /** The stream is complete. */
    fun endStream(head: ResponseHead) {
        if (!streaming) response.beginStream(head)
        response.endStream()
    }

    /** Passes a complete answer on. */
    fun forwardComplete(head: ResponseHead, body: ByteArray) = response.sendComplete(head, body)

    /** Keeps a target's own failure until it is certain that no other target answers. */
    fun keepFailure(head: ResponseHead, body: ByteArray) {
        failure = TargetFailure(head, body)
    }

    /** Ends the answer because nobody can complete it; the outcome and the status that the caller gets. */
    fun failRequest(reason: String, mayHaveRun: Boolean): ExchangeResult {
        val targetFailure = failure
        return when {
            streaming -> abortStream()
            targetFailure != null ->
                ExchangeResult("target-failed", targetFailure.head.status)
                    .also { response.sendComplete(targetFailure.head, targetFailure.body) }
            mayHaveRun -> refuse(Refusal.Failed(reason))
            else -> refuse(Refusal.Unavailable(reason, Refusal.soon(random)))
        }
    }

    /** Ends the answer because the time is over. */
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

    private class TargetFailure(val head: ResponseHead, val body: ByteArray)

    private companion object {
        const val NO_STATUS = 0
    }
}

/**
 * How an answer ended.
 *
 * @property status what the caller got; 0 when it saw only the connection close.
 * @property reason why the gateway refused the request; `null` when it did not.
 */
internal data class ExchangeResult(val outcome: String, val status: Int, val reason: String? = null)
