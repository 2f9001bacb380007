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
internal data class RunContext(
    val ports: RequestPorts,
    val claims: ClaimLedger,
    val admission: EntryAdmission,
    val budget: RetryBudget,
    val random: Random,
)

/** One request from its admission to its end. Used by one coroutine. */
internal class RequestRun(
    private val context: RunContext,
    private val plan: RequestPlan,
    private val receive: suspend (AnswerPart) -> Unit,
) {
    private val log = RequestLog(context.ports, plan)
    private val claim = RequestClaim(context.claims, plan)
    private val attempt = TargetAttempt(context, plan, claim, log, receive)
    private val avoid = HashSet<GroupId>()
    private var tries = 0
    private var refusals = 0

    /** Serves the request; when it is cancelled, its claim is closed in the background. */
    suspend fun run(): RequestResult {
        var result: RequestResult? = null
        try {
            result = serve()
        } finally {
            if (result == null) {
                claim.cancelled()
                log.cancelled()
            }
        }
        return checkNotNull(result)
    }

    private suspend fun serve(): RequestResult {
        var result = context.admission.rateLimit(plan)?.let { failed(it, started = false) }
        while (result == null) {
            result = when (val slot = context.admission.acquire(plan, avoid)) {
                is Either.Left -> failed(slot.value, started = false)
                is Either.Right -> use(slot.value)
            }
        }
        return result
    }

    /** Makes an attempt with [slot]; `null` when another one follows. */
    private suspend fun use(slot: Slot): RequestResult? {
        var end: AttemptEnd = AttemptEnd.Neutral
        val step = try {
            log.admitted(slot)
            attempt.run(slot).also { end = it.end }
        } finally {
            context.admission.release(slot, end)
        }
        return when (step) {
            is AttemptStep.Whole -> complete { claim.finished(step.answer) }
            is AttemptStep.Replay -> complete { AnswerContent.replay(step.finished).forEach { receive(it) } }
            is AttemptStep.Refused -> ended(step.problem, started = false)
            is AttemptStep.Failed -> failed(step.problem, step.started)
            is AttemptStep.Again -> again(slot, step)
        }
    }

    /** Waits before the next attempt; a result when there is none. */
    private suspend fun again(slot: Slot, step: AttemptStep.Again): RequestResult? {
        avoid.add(slot.candidate.group)
        tries++
        val refused = step.cause == RetryCause.REFUSED
        if (refused) refusals++
        val pause = if (step.cause == RetryCause.NOT_SENT) Duration.ZERO else PAUSES.pause(tries, context.random)
        val problem = when {
            plan.deadlineAt - context.ports.clock.monotonic() <= pause ->
                Problems.deadlineExceeded("no time is left to try another target", Outcome.NOT_RUN)
            tries > MAXIMUM_TRIES -> Problems.noTarget(plan.entry.name)
            refused && refusals > FREE_REFUSALS && !context.budget.take() ->
                Problems.overloaded("the targets refuse requests", 1.seconds)
            else -> null
        }
        if (problem != null) return failed(problem, started = false)
        log.retried(slot.candidate, step.reason)
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
        ended(problem.copy(outcome = claim.failed(problem)), started)

    private fun ended(problem: Problem, started: Boolean): RequestResult {
        val told = if (claim.held) problem else Problems.forKey(problem, plan.request)
        log.ended(told)
        return RequestResult.Failed(told, started)
    }

    private companion object {
        const val MAXIMUM_TRIES = 10

        /** A refusal is usual when the reported load lags, so one is not counted against the retry budget. */
        const val FREE_REFUSALS = 1
        val PAUSES = Backoff(20.milliseconds, 500.milliseconds)
    }
}
