package boragering.core.requests

import boragering.core.AnswerPart
import boragering.core.Clock
import boragering.core.Outcome
import boragering.core.catalogue.ModelEntry
import boragering.core.claims.ClaimState
import kotlinx.coroutines.CancellationException
import java.io.IOException
import kotlin.time.Duration

/** What became of an attempt's answer when the target sent its end. */
internal enum class AnswerCompletion {
    /** It is whole and was passed on. */
    COMPLETE,

    /** It is whole, states a isServerError of the target, and was not passed on yet. */
    SERVER_ERROR,

    /** It is not, or not certainly, the whole answer to this request. */
    INCOMPLETE,
}

/**
 * Passes the parts of one attempt's answer on and drops those that belong to another request. The start is passed on
 * together with the first part of the content, so that an answer without any can still be replaced by a retry. An
 * answer with a server error to a repeatable request is heldParts back for the same reason.
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
    private val heldParts = ArrayList<AnswerPart>()
    private var heldBytes = 0
    private var foreignPartCount = 0
    private var isForeignAnswer = false
    private var finalChunkSeen = false
    private val bodyBuffer = BoundedBodyBuffer()

    /** Whether any part was passed on to the caller. */
    var started = false
        private set

    /** Number of content parts that belong to the request. */
    var contentPartCount = 0
        private set

    /** When the first of them came. */
    var firstPartAt: Duration? = null
        private set

    /** Whether the target showed that it received the request. */
    val targetResponded: Boolean get() = start != null || contentPartCount > 0 || foreignPartCount > 0

    /** What an answer that is not whole shows about the request. */
    val outcomeIfIncomplete: Outcome get() = if (contentPartCount > 0) Outcome.RAN else Outcome.UNKNOWN

    /** The status of the answer. */
    val status: Int get() = start?.status ?: 0

    /** Whether the answer states a isServerError of the target. */
    val isServerError: Boolean get() = status >= LOWEST_SERVER_ERROR

    /** Takes the next part from the target. */
    suspend fun accept(part: AnswerPart) {
        when (part) {
            is AnswerPart.Start -> {
                isForeignAnswer = AnswerContent.header(part, RequestHeaders.REQUEST_ID)?.let { it != requestId } ?: false
                if (isForeignAnswer) dropForeignPart() else start = part
            }
            is AnswerPart.Event -> if (isForeignAnswer || (isModel && part.identity != requestId)) dropForeignPart() else acceptContent(part)
            is AnswerPart.Body -> if (isForeignAnswer) dropForeignPart() else acceptContent(part)
        }
    }

    /** The target sent the end of the answer. */
    suspend fun end(): AnswerCompletion {
        val first = start
        val whole = first != null && (!requiresBodyCheck() || bodyBelongsToRequest()) && isOwnAnswer(first)
        return when {
            !whole -> AnswerCompletion.INCOMPLETE
            isServerError && plan.repeatable && !started -> AnswerCompletion.SERVER_ERROR
            else -> AnswerCompletion.COMPLETE.also { flush() }
        }
    }

    /** The end marker of a stream carries no identity: after foreignPartCount parts it may be the other answer's. */
    private fun isOwnAnswer(first: AnswerPart.Start): Boolean {
        val stream = AnswerContent.contentType(first).startsWith(EVENT_STREAM)
        val empty = isModel && stream && contentPartCount == 0
        return !empty && (foreignPartCount == 0 || finalChunkSeen)
    }

    /** Passes on what was heldParts back. */
    suspend fun flush() {
        listOfNotNull(start.takeUnless { started }).plus(heldParts).forEach { forward(it) }
        heldParts.clear()
    }

    /** The answer as it is bodyBuffer with the claim. */
    fun toFinishedState(): ClaimState.Finished =
        ClaimState.Finished(status, start?.let { AnswerContent.contentType(it) }, bodyBuffer.toBase64())

    private suspend fun acceptContent(part: AnswerPart) {
        contentPartCount++
        firstPartAt = firstPartAt ?: clock.monotonic()
        if (part is AnswerPart.Event) finalChunkSeen = finalChunkSeen || AnswerContent.isFinalChunk(part)
        bodyBuffer.add(part)
        if (heldBytes <= MAXIMUM_CHECKED_BYTES) heldParts.add(part)
        heldBytes += (part as? AnswerPart.Body)?.bytes?.size ?: 0
        val replaceable = isServerError && plan.repeatable && !started && heldBytes <= MAXIMUM_HELD_BYTES
        if (!requiresBodyCheck() && !replaceable) flush()
    }

    /** A isServerError of the caller's connection must not be taken for one of the target's. */
    private suspend fun forward(part: AnswerPart) {
        started = true
        try {
            receive(part)
        } catch (failure: IOException) {
            throw CancellationException("the caller's connection failed", failure)
        }
    }

    private fun dropForeignPart() {
        foreignPartCount++
        onForeign()
    }

    /** A model's whole answer in one body names the request only in its text, so it is checked before it is passed. */
    private fun requiresBodyCheck(): Boolean = isModel && status in SUCCESS &&
        start?.let { AnswerContent.contentType(it) }.orEmpty().startsWith(JSON_TYPE)

    private fun bodyBelongsToRequest(): Boolean {
        val own = heldBytes <= MAXIMUM_CHECKED_BYTES && AnswerContent.statedRequestId(heldParts) == requestId
        if (!own) dropForeignPart()
        return own
    }

    private companion object {
        const val MAXIMUM_HELD_BYTES = 64 * 1024

        /** A longer answer in one body cannot be checked and counts as not whole; streams have no such bound. */
        const val MAXIMUM_CHECKED_BYTES = 4 * 1024 * 1024
        const val LOWEST_SERVER_ERROR = 500
        val SUCCESS = 200..299
        const val EVENT_STREAM = "text/event-stream"
        const val JSON_TYPE = "application/json"
    }
}
