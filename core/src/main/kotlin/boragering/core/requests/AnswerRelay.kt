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
internal enum class AnswerEnd {
    /** It is whole and was passed on. */
    WHOLE,

    /** It is whole, states a fault of the target, and was not passed on yet. */
    FAULT,

    /** It is not, or not certainly, the whole answer to this request. */
    NOT_WHOLE,
}

/**
 * Passes the parts of one attempt's answer on and drops those that belong to another request. The start is passed on
 * together with the first part of the content, so that an answer without any can still be replaced by a retry. An
 * answer with a server error to a repeatable request is held back for the same reason.
 */
internal class AnswerRelay(
    private val plan: RequestPlan,
    private val clock: Clock,
    private val onForeign: () -> Unit,
    private val receive: suspend (AnswerPart) -> Unit,
) {
    private val identity = plan.request.id.value
    private val model = plan.entry is ModelEntry
    private var start: AnswerPart.Start? = null
    private val held = ArrayList<AnswerPart>()
    private var heldBytes = 0
    private var foreign = 0
    private var foreignAnswer = false
    private var finishSeen = false
    private val kept = KeptBody()

    /** Whether any part was passed on to the caller. */
    var started = false
        private set

    /** Number of content parts that belong to the request. */
    var length = 0
        private set

    /** When the first of them came. */
    var firstPartAt: Duration? = null
        private set

    /** Whether the target showed that it received the request. */
    val answered: Boolean get() = start != null || length > 0 || foreign > 0

    /** What an answer that is not whole shows about the request. */
    val outcomeIfNotWhole: Outcome get() = if (length > 0) Outcome.RAN else Outcome.UNKNOWN

    /** The status of the answer. */
    val status: Int get() = start?.status ?: 0

    /** Whether the answer states a fault of the target. */
    val fault: Boolean get() = status >= SERVER_ERROR

    /** Takes the next part from the target. */
    suspend fun accept(part: AnswerPart) {
        when (part) {
            is AnswerPart.Start -> {
                foreignAnswer = AnswerContent.header(part, RequestHeaders.REQUEST_ID)?.let { it != identity } ?: false
                if (foreignAnswer) drop() else start = part
            }
            is AnswerPart.Event -> if (foreignAnswer || (model && part.identity != identity)) drop() else content(part)
            is AnswerPart.Body -> if (foreignAnswer) drop() else content(part)
        }
    }

    /** The target sent the end of the answer. */
    suspend fun end(): AnswerEnd {
        val first = start
        val whole = first != null && (!checkedBody() || bodyIsOwn()) && ownToTheEnd(first)
        return when {
            !whole -> AnswerEnd.NOT_WHOLE
            fault && plan.repeatable && !started -> AnswerEnd.FAULT
            else -> AnswerEnd.WHOLE.also { flush() }
        }
    }

    /** The end marker of a stream carries no identity: after foreign parts it may be the other answer's. */
    private fun ownToTheEnd(first: AnswerPart.Start): Boolean {
        val stream = AnswerContent.type(first).startsWith(EVENT_STREAM)
        val empty = model && stream && length == 0
        return !empty && (foreign == 0 || finishSeen)
    }

    /** Passes on what was held back. */
    suspend fun flush() {
        listOfNotNull(start.takeUnless { started }).plus(held).forEach { pass(it) }
        held.clear()
    }

    /** The answer as it is kept with the claim. */
    fun finished(): ClaimState.Finished =
        ClaimState.Finished(status, start?.let { AnswerContent.type(it) }, kept.encoded())

    private suspend fun content(part: AnswerPart) {
        length++
        firstPartAt = firstPartAt ?: clock.monotonic()
        if (part is AnswerPart.Event) finishSeen = finishSeen || AnswerContent.finishes(part)
        kept.add(part)
        if (heldBytes <= MAXIMUM_CHECKED) held.add(part)
        heldBytes += (part as? AnswerPart.Body)?.bytes?.size ?: 0
        val replaceable = fault && plan.repeatable && !started && heldBytes <= MAXIMUM_HELD
        if (!checkedBody() && !replaceable) flush()
    }

    /** A fault of the caller's connection must not be taken for one of the target's. */
    private suspend fun pass(part: AnswerPart) {
        started = true
        try {
            receive(part)
        } catch (failure: IOException) {
            throw CancellationException("the caller's connection failed", failure)
        }
    }

    private fun drop() {
        foreign++
        onForeign()
    }

    /** A model's whole answer in one body names the request only in its text, so it is checked before it is passed. */
    private fun checkedBody(): Boolean = model && status in SUCCESS &&
        start?.let { AnswerContent.type(it) }.orEmpty().startsWith(JSON_TYPE)

    private fun bodyIsOwn(): Boolean {
        val own = heldBytes <= MAXIMUM_CHECKED && AnswerContent.statedIdentity(held) == identity
        if (!own) drop()
        return own
    }

    private companion object {
        const val MAXIMUM_HELD = 64 * 1024

        /** A longer answer in one body cannot be checked and counts as not whole; streams have no such bound. */
        const val MAXIMUM_CHECKED = 4 * 1024 * 1024
        const val SERVER_ERROR = 500
        val SUCCESS = 200..299
        const val EVENT_STREAM = "text/event-stream"
        const val JSON_TYPE = "application/json"
    }
}
