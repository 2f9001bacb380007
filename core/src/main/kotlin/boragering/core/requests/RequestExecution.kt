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

/** What a request is served with. */
internal data class ExecutionContext(
    val ports: RequestPorts,
    val claims: ClaimLedger,
    val admission: EntryAdmission,
    val budget: RetryBudget,
    val random: Random,
)

/** One request from its admission to its end. Used by one coroutine. */
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

    /** Serves the request; when it is cancelled, its claim is closed in the background. */
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

    /** Makes an attempt with [slot]; `null` when another one follows. */
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

    /** Waits before the next attempt; a result when there is none. */
    private suspend fun prepareRetry(slot: Slot, attemptResult: AttemptResult.Retry): RequestResult? {
        avoidedGroups.add(slot.candidate.group)
        retries++
        val refused = attemptResult.cause == RetryCause.REFUSED
        if (refused) refusals++
        val pause = if (attemptResult.cause == RetryCause.NOT_SENT) Duration.ZERO else RETRY_BACKOFF.pause(retries, context.random)
        val problem = when {
            plan.deadlineAt - context.ports.clock.monotonic() <= pause ->
                Problems.deadlineExceeded("no time is left to try another target", Outcome.NOT_RUN)
            retries > MAXIMUM_RETRIES -> Problems.noTarget(plan.entry.name)
            refused && refusals > UNBUDGETED_REFUSALS && !context.budget.tryTake() ->
                Problems.overloaded("the targets refuse requests", 1.seconds)
            else -> null
        }
        if (problem != null) return failed(problem, started = false)
        log.retried(slot.candidate, attemptResult.reason)
        delay(pause)
        return null
    }

    private suspend fun complete(finish: suspend () -> Unit): RequestResult {
        finish()
        log.ended(null)
        return RequestResult.Complete
    }

    /** Ends the request; what the caller is told depends on earlier attempts and on the state of the claim. */
    private suspend fun failed(problem: Problem, started: Boolean): RequestResult =
        ended(problem.copy(outcome = claim.closeFailed(problem)), started)

    private fun ended(problem: Problem, started: Boolean): RequestResult {
        val told = if (claim.isClaimed) problem else Problems.noteEarlierRequests(problem, plan.request)
        log.ended(told)
        return RequestResult.Failed(told, started)
    }

    private companion object {
        const val MAXIMUM_RETRIES = 10

        /** A refusal is usual when the reported load lags, so one is not counted against the retry budget. */
        const val UNBUDGETED_REFUSALS = 1
        val RETRY_BACKOFF = Backoff(20.milliseconds, 500.milliseconds)
    }
}
