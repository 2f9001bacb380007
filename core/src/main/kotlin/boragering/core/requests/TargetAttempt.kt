package boragering.core.requests

import arrow.core.Either
import boragering.core.AnswerPart
import boragering.core.Candidate
import boragering.core.Outcome
import boragering.core.Problem
import boragering.core.TargetCall
import boragering.core.TargetFailure
import boragering.core.catalogue.ModelEntry
import boragering.core.claims.ClaimState
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Result of an attempt, which determines the next step. */
internal sealed interface AttemptResult {
    /** The end of the attempt, from the point of view of its target. */
    val end: AttemptEnd get() = AttemptEnd.Neutral

    /** The caller received the complete answer. */
    data class Answered(val answer: ClaimState.Finished, override val end: AttemptEnd) : AttemptResult

    /** The request already ran, and its answer is recorded. */
    data class Replay(val finished: ClaimState.Finished) : AttemptResult

    /** The request could not be claimed, so there is no claim to close. */
    data class NotClaimed(val problem: Problem) : AttemptResult

    /** The request failed, and no further attempt is made. */
    data class Failed(
        val problem: Problem,
        val started: Boolean,
        override val end: AttemptEnd = AttemptEnd.Neutral,
    ) : AttemptResult

    /** Another target may be tried. */
    data class Retry(val cause: RetryCause, val reason: String) : AttemptResult {
        override val end: AttemptEnd get() = cause.end
    }
}

/** Why an attempt may be followed by another one. */
internal enum class RetryCause(val end: AttemptEnd) {
    /** The request was not sent, or the target's group or fencing number is out of date. */
    NOT_SENT(AttemptEnd.Neutral),

    /** The target refused the request for lack of capacity. */
    REFUSED(AttemptEnd.NoCapacity),

    /** The attempt failed; the request is repeatable, and the retry is within the budget. */
    FAILED(AttemptEnd.TargetFailed),
}

/** Sends one request to one target at a time. Confined to one coroutine. */
internal class TargetAttempt(
    private val context: ExecutionContext,
    private val plan: RequestPlan,
    private val claim: RequestClaim,
    private val log: RequestEventReporter,
    private val receive: suspend (AnswerPart) -> Unit,
) {
    /** Number of times that the request was sent. */
    var sendCount = 0
        private set

    private var brokenSends = 0
    private val retryAfter = Problems.RETRY_SOON_SECONDS.takeIf { plan.repeatable }
    private val remaining: Duration get() = plan.deadlineAt - now()

    /** Claims the request if needed and sends it to the target of [slot]. */
    suspend fun run(slot: Slot): AttemptResult {
        val openResult = claim.open(remaining)
        return when {
            openResult is OpenResult.Rejected -> AttemptResult.NotClaimed(openResult.problem)
            openResult is OpenResult.AlreadyFinished -> AttemptResult.Replay(openResult.finished)
            remaining <= Duration.ZERO -> AttemptResult.Failed(
                Problems.deadlineExceeded("the deadline passed before the request was sent", Outcome.NOT_RUN),
                started = false,
            )
            !context.ports.directory.usable(slot.candidate) ->
                AttemptResult.Retry(RetryCause.NOT_SENT, "the target is not usable")
            else -> send(slot)
        }
    }

    private suspend fun send(slot: Slot): AttemptResult {
        val candidate = slot.candidate
        val relay = AnswerRelay(plan, context.ports.clock, { log.foreign(candidate) }, receive)
        val previouslyMayHaveRun = claim.mayHaveRun
        val sentAt = now()
        claim.mayHaveRun = true
        sendCount++
        log.dispatched(candidate, sendCount)
        val answer = withTimeoutOrNull(remaining) {
            context.ports.calls.send(call(candidate)) { part ->
                relay.accept(part)
                context.admission.updateLength(slot, relay.contentPartCount)
            }
        }
        val failure = answer?.leftOrNull()
        val refused = failure is TargetFailure.NotSent || failure is TargetFailure.Refused
        return when {
            answer is Either.Right -> onAnswerEnd(relay, sentAt)
            refused && !relay.targetResponded ->
                onNotRun(candidate, checkNotNull(failure)).also { claim.mayHaveRun = previouslyMayHaveRun }
            answer == null || remaining <= Duration.ZERO -> onTimeout(relay)
            else -> onBroken(relay, failure?.reason.orEmpty())
        }
    }

    private suspend fun onAnswerEnd(relay: AnswerRelay, sentAt: Duration): AttemptResult = when (relay.end()) {
        AnswerCompletion.INCOMPLETE -> onBroken(relay, "the answer is incomplete or belongs to another request")
        AnswerCompletion.SERVER_ERROR ->
            if (takeRetry()) {
                AttemptResult.Retry(RetryCause.FAILED, "the target answered with status ${relay.status}")
            } else {
                relay.flush()
                AttemptResult.Answered(relay.toFinishedState(), AttemptEnd.TargetFailed)
            }
        AnswerCompletion.COMPLETE -> {
            log.firstPart(relay.firstPartAt)
            AttemptResult.Answered(relay.toFinishedState(), succeeded(relay, sentAt))
        }
    }

    private fun succeeded(relay: AnswerRelay, sentAt: Duration): AttemptEnd {
        val duration = now() - sentAt
        val length = if (plan.entry is ModelEntry) relay.contentPartCount else (duration / SERVICE_LENGTH_UNIT).toInt()
        val firstPart = relay.firstPartAt?.let { it - sentAt } ?: duration
        return if (relay.isServerError) AttemptEnd.TargetFailed else AttemptEnd.Succeeded(firstPart, length, duration)
    }

    /** Handles a failure that proves that the target did not run the request. */
    private fun onNotRun(candidate: Candidate, failure: TargetFailure): AttemptResult = when {
        failure is TargetFailure.NotSent -> {
            // A refused connection indicates that the target is leaving.
            context.ports.directory.reportLeaving(candidate.group, candidate.fence)
            AttemptResult.Retry(RetryCause.NOT_SENT, failure.reason)
        }
        failure is TargetFailure.Refused && failure.status == STALE_STATUS ->
            AttemptResult.Retry(RetryCause.NOT_SENT, failure.reason)
        else -> AttemptResult.Retry(RetryCause.REFUSED, failure.reason)
    }

    private fun onTimeout(relay: AnswerRelay): AttemptResult {
        val detail = "the deadline passed before the answer was complete"
        val problem = Problems.deadlineExceeded(detail, relay.outcomeIfIncomplete, retryAfter)
        // If parts arrived, the answer may just take longer than the deadline, which is not a fault of the target.
        val end = if (relay.contentPartCount > 0) AttemptEnd.Neutral else AttemptEnd.TargetFailed
        return AttemptResult.Failed(problem, relay.started, end)
    }

    private fun onBroken(relay: AnswerRelay, reason: String): AttemptResult {
        brokenSends++
        val repeatable = plan.repeatable && !relay.started && brokenSends < MAXIMUM_BROKEN_SENDS
        return if (repeatable && takeRetry()) {
            AttemptResult.Retry(RetryCause.FAILED, reason)
        } else {
            val problem = Problems.targetFailed(reason, relay.outcomeIfIncomplete, retryAfter)
            AttemptResult.Failed(problem, relay.started, AttemptEnd.TargetFailed)
        }
    }

    private fun takeRetry(): Boolean =
        remaining > Duration.ZERO && sendCount < MAXIMUM_SENDS && context.budget.tryTake()

    private fun call(candidate: Candidate) = TargetCall(
        request = plan.request.id,
        address = candidate.address,
        method = plan.request.method,
        path = plan.request.path,
        headers = RequestHeaders.forTarget(plan, candidate).toPersistentList(),
        body = plan.request.body,
        timeout = remaining,
    )

    private fun now(): Duration = context.ports.clock.monotonic()

    private companion object {
        const val STALE_STATUS = 409
        const val MAXIMUM_SENDS = 4

        /** Number of targets lost during a request after which it may itself be the cause. */
        const val MAXIMUM_BROKEN_SENDS = 2

        /** Answers of plain services have no tokens, so their duration in this unit is used as their length. */
        val SERVICE_LENGTH_UNIT = 10.milliseconds
    }
}
