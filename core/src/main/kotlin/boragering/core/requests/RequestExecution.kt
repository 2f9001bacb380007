package boragering.core.requests

import arrow.core.Either
import boragering.core.AnswerPart
import boragering.core.Backoff
import boragering.core.GroupId
import boragering.core.Outcome
import boragering.core.Problem
import boragering.core.RequestResult
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Dependencies of the execution of a request. */
internal data class ExecutionContext(
    val ports: RequestPorts,
    val claims: ClaimLedger,
    val admission: EntryAdmission,
    val budget: RetryBudget,
    val random: Random,
)

/** Executes one request from its admission to its end. Confined to one coroutine. */
internal class RequestExecution(
    private val context: ExecutionContext,
    private val plan: RequestPlan,
    private val receive: suspend (AnswerPart) -> Unit,
) {
    private val log = RequestEventReporter(context.ports, plan)
    private val claim = RequestClaim(context.claims, plan)
    private val attempt = TargetAttempt(context, plan, claim, log, receive)
    private val avoidedGroups = HashSet<GroupId>()
    private var retries = 0
    private var refusals = 0

    /** Serves the request. On cancellation, its claim is closed in the background. */
    suspend fun run(): RequestResult {
        var result: RequestResult? = null
        try {
            result = serve()
        } finally {
            if (result == null) {
                claim.closeCancelled()
                log.cancelled()
            }
        }
        return checkNotNull(result)
    }

    private suspend fun serve(): RequestResult {
        var result = context.admission.checkRateLimit(plan)?.let { failed(it, started = false) }
        while (result == null) {
            result = when (val slot = context.admission.acquire(plan, avoidedGroups)) {
                is Either.Left -> failed(slot.value, started = false)
                is Either.Right -> attemptWith(slot.value)
            }
        }
        return result
    }

    /** Makes an attempt with [slot] and releases the slot. Returns `null` if another attempt follows. */
    private suspend fun attemptWith(slot: Slot): RequestResult? {
        var end: AttemptEnd = AttemptEnd.Neutral
        val attemptResult = try {
            log.admitted(slot)
            attempt.run(slot).also { end = it.end }
        } finally {
            context.admission.release(slot, end)
        }
        return when (attemptResult) {
            is AttemptResult.Answered -> complete { claim.recordFinished(attemptResult.answer) }
            is AttemptResult.Replay -> complete { AnswerContent.replay(attemptResult.finished).forEach { receive(it) } }
            is AttemptResult.NotClaimed -> ended(attemptResult.problem, started = false)
            is AttemptResult.Failed -> failed(attemptResult.problem, attemptResult.started)
            is AttemptResult.Retry -> prepareRetry(slot, attemptResult)
        }
    }

    /** Waits before the next attempt and returns `null`, or returns the result if there is no further attempt. */
    private suspend fun prepareRetry(slot: Slot, retry: AttemptResult.Retry): RequestResult? {
        avoidedGroups.add(slot.candidate.group)
        retries++
        val refused = retry.cause == RetryCause.REFUSED
        if (refused) refusals++
        val pause =
            if (retry.cause == RetryCause.NOT_SENT) Duration.ZERO else RETRY_BACKOFF.delayAfter(retries, context.random)
        val problem = when {
            plan.deadlineAt - context.ports.clock.monotonic() <= pause ->
                Problems.deadlineExceeded("no time is left to try another target", Outcome.NOT_RUN)
            retries > MAXIMUM_RETRIES -> Problems.noTarget(plan.entry.name)
            refused && refusals > UNBUDGETED_REFUSALS && !context.budget.tryTake() ->
                Problems.overloaded("the targets refused the request for lack of capacity", 1.seconds)
            else -> null
        }
        if (problem != null) return failed(problem, started = false)
        log.retried(slot.candidate, retry.reason)
        delay(pause)
        return null
    }

    private suspend fun complete(finish: suspend () -> Unit): RequestResult {
        finish()
        log.ended(null)
        return RequestResult.Complete
    }

    /**
     * Ends a failed request. The outcome reported to the caller depends on earlier attempts and on the state of the
     * claim.
     */
    private suspend fun failed(problem: Problem, started: Boolean): RequestResult =
        ended(problem.copy(outcome = claim.closeFailed(problem)), started)

    private fun ended(problem: Problem, started: Boolean): RequestResult {
        val told = if (claim.isClaimed) problem else Problems.noteEarlierRequests(problem, plan.request)
        log.ended(told)
        return RequestResult.Failed(told, started)
    }

    private companion object {
        const val MAXIMUM_RETRIES = 10

        /**
         * Number of refusals that do not count against the retry budget. One refusal is common when the reported load
         * lags.
         */
        const val UNBUDGETED_REFUSALS = 1
        val RETRY_BACKOFF = Backoff(20.milliseconds, 500.milliseconds)
    }
}
