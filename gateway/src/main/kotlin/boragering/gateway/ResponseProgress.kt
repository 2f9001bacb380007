package boragering.gateway

import kotlin.random.Random

/** What the caller of one request has received so far. Runs on the event loop. */
internal class ResponseProgress(private val answer: CallerResponse, private val random: Random, lastEvent: Long?) {
    private var failure: TargetFailure? = null
    private var numbered = true

    /** Whether events were passed on. */
    var streaming = false
        private set

    /** Id of the last event that the caller has. */
    var lastEvent = lastEvent
        private set

    /** Whether the stream can go on at another target. */
    val resumable: Boolean get() = !streaming || numbered

    /** Whether the caller reads as fast as events come. */
    val writable: Boolean get() = answer.writable

    /** Passes an event on unless the caller has it; whether it is the first one. */
    fun event(head: ResponseHead, bytes: ByteArray, id: Long?): Boolean {
        val last = lastEvent
        if (id != null && last != null && id <= last) return false
        val first = !streaming
        if (first) answer.begin(head)
        streaming = true
        if (id == null) numbered = false else lastEvent = id
        answer.event(bytes)
        return first
    }

    /** The stream is complete. */
    fun end(head: ResponseHead) {
        if (!streaming) answer.begin(head)
        answer.end()
    }

    /** Passes a complete answer on. */
    fun whole(head: ResponseHead, body: ByteArray) = answer.whole(head, body)

    /** Keeps a target's own failure until it is certain that no other target answers. */
    fun keep(head: ResponseHead, body: ByteArray) {
        failure = TargetFailure(head, body)
    }

    /** Ends the answer because nobody can complete it; the outcome and the status that the caller gets. */
    fun giveUp(reason: String, mayHaveRun: Boolean): ExchangeResult {
        val own = failure
        return when {
            streaming -> breakOff()
            own != null -> ExchangeResult("target-failed", own.head.status).also { answer.whole(own.head, own.body) }
            mayHaveRun -> refuse(Refusal.Failed(reason))
            else -> refuse(Refusal.Unavailable(reason, Refusal.soon(random)))
        }
    }

    /** Ends the answer because the time is over. */
    fun expire(mayHaveRun: Boolean): ExchangeResult = when {
        streaming -> breakOff()
        mayHaveRun -> refuse(Refusal.TimedOut("no answer in time"))
        else -> refuse(Refusal.Unavailable("not sent in time", retryAfter = null))
    }

    private fun breakOff(): ExchangeResult {
        answer.abort()
        return ExchangeResult("stream-broken", NO_STATUS)
    }

    private fun refuse(refusal: Refusal): ExchangeResult {
        answer.refuse(refusal)
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
