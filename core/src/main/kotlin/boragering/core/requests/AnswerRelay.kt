package boragering.core.requests

import boragering.core.AnswerPart
import boragering.core.Clock
import boragering.core.Outcome
import boragering.core.catalogue.ModelEntry
import boragering.core.claims.ClaimState
import kotlinx.coroutines.CancellationException
import java.io.IOException
import kotlin.time.Duration

/** State of an attempt's answer after the target has sent the end of the answer. */
internal enum class AnswerCompletion {
    /** The answer is complete and was forwarded to the caller. */
    COMPLETE,

    /** The answer is complete, has a server error as its status, and was not forwarded yet. */
    SERVER_ERROR,

    /** The answer is incomplete, or may not be the answer to this request. */
    INCOMPLETE,
}

/**
 * Forwards the parts of one attempt's answer to the caller and drops parts that belong to another request.
 *
 * The start is forwarded together with the first part of the content, so that a retry can still replace an answer
 * without content. For the same reason, a server error in answer to a repeatable request is held back.
 */
internal class AnswerRelay(
    private val plan: RequestPlan,
    private val clock: Clock,
    private val onForeign: () -> Unit,
    private val receive: suspend (AnswerPart) -> Unit,
) {
    private val requestId = plan.request.id.value
    private val isModel = plan.entry is ModelEntry
    private var start: AnswerPart.Start? = null
    private val held = HeldParts()
    private var foreignPartCount = 0
    private var isForeignAnswer = false
    private var finalChunkSeen = false
    private val bodyBuffer = BoundedBodyBuffer()

    /** Whether any part was forwarded to the caller. */
    var started = false
        private set

    /** Number of content parts that belong to the request. */
    var contentPartCount = 0
        private set

    /** Monotonic time at which the first of these parts arrived. */
    var firstPartAt: Duration? = null
        private set

    /** Whether any part arrived, which shows that the target received the request. */
    val targetResponded: Boolean get() = start != null || contentPartCount > 0 || foreignPartCount > 0

    /** The outcome of the request if its answer is incomplete. */
    val outcomeIfIncomplete: Outcome get() = if (contentPartCount > 0) Outcome.RAN else Outcome.UNKNOWN

    /** The HTTP status of the answer, or 0 before its start has arrived. */
    val status: Int get() = start?.status ?: 0

    /** Whether the status is a server error (500 or higher). */
    val isServerError: Boolean get() = status >= LOWEST_SERVER_ERROR

    /** Processes the next part from the target. */
    suspend fun accept(part: AnswerPart) {
        when (part) {
            is AnswerPart.Start -> {
                isForeignAnswer =
                    AnswerContent.header(part, RequestHeaders.REQUEST_ID)?.let { it != requestId } ?: false
                if (isForeignAnswer) dropForeign() else start = part
            }
            is AnswerPart.Event ->
                if (isForeignAnswer || (isModel && part.identity != requestId)) dropForeign() else acceptContent(part)
            is AnswerPart.Body -> if (isForeignAnswer) dropForeign() else acceptContent(part)
        }
    }

    /**
     * Processes the end of the answer and forwards a complete answer, except for a server error that may be retried.
     */
    suspend fun end(): AnswerCompletion {
        val first = start
        val whole = first != null && (!requiresBodyCheck() || bodyBelongsToRequest()) && isOwnAnswer(first)
        return when {
            !whole -> AnswerCompletion.INCOMPLETE
            isServerError && plan.repeatable && !started -> AnswerCompletion.SERVER_ERROR
            else -> AnswerCompletion.COMPLETE.also { flush() }
        }
    }

    /**
     * Whether the answer belongs to this request up to its end. The end marker of a stream has no request id, so after
     * foreign parts it may be the end of the other answer, unless this request's final chunk arrived.
     */
    private fun isOwnAnswer(first: AnswerPart.Start): Boolean {
        val stream = AnswerContent.contentType(first).startsWith(EVENT_STREAM)
        val empty = isModel && stream && contentPartCount == 0
        return !empty && (foreignPartCount == 0 || finalChunkSeen)
    }

    /** Forwards the parts that were held back. */
    suspend fun flush() {
        listOfNotNull(start.takeUnless { started }).plus(held.parts).forEach { forward(it) }
        held.clear()
    }

    /** The answer in the form that is recorded in the claim. */
    fun toFinishedState(): ClaimState.Finished =
        ClaimState.Finished(status, start?.let { AnswerContent.contentType(it) }, bodyBuffer.toBase64())

    private suspend fun acceptContent(part: AnswerPart) {
        contentPartCount++
        firstPartAt = firstPartAt ?: clock.monotonic()
        if (part is AnswerPart.Event) finalChunkSeen = finalChunkSeen || AnswerContent.isFinalChunk(part)
        bodyBuffer.add(part)
        held.add(part, if (requiresBodyCheck()) MAXIMUM_CHECKED_BYTES else Long.MAX_VALUE)
        val replaceable = isServerError && plan.repeatable && !started && held.size <= MAXIMUM_HELD_BYTES
        if (!requiresBodyCheck() && !replaceable) flush()
    }

    /**
     * Forwards [part] to the caller. A failure of the caller's connection becomes a cancellation, so that it is not
     * attributed to the target.
     */
    private suspend fun forward(part: AnswerPart) {
        started = true
        try {
            receive(part)
        } catch (failure: IOException) {
            throw CancellationException("the caller's connection failed", failure)
        }
    }

    private fun dropForeign() {
        foreignPartCount++
        onForeign()
    }

    /**
     * Whether the body must be checked before it is forwarded: an answer from a model in a single JSON body has the
     * request id only in its text.
     */
    private fun requiresBodyCheck(): Boolean = isModel && status in SUCCESS &&
        start?.let { AnswerContent.contentType(it) }.orEmpty().startsWith(JSON_TYPE)

    private fun bodyBelongsToRequest(): Boolean {
        val own = held.size <= MAXIMUM_CHECKED_BYTES && AnswerContent.statedRequestId(held.parts) == requestId
        if (!own) dropForeign()
        return own
    }

    private companion object {
        const val MAXIMUM_HELD_BYTES = 64 * 1024

        /** A longer single-body answer cannot be checked and counts as incomplete. Streams have no such limit. */
        const val MAXIMUM_CHECKED_BYTES = 4L * 1024 * 1024
        const val LOWEST_SERVER_ERROR = 500
        val SUCCESS = 200..299
        const val EVENT_STREAM = "text/event-stream"
        const val JSON_TYPE = "application/json"
    }
}
