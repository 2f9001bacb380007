package boragering.core.requests

import boragering.core.CallerRequest
import boragering.core.EntryName
import boragering.core.Outcome
import boragering.core.Problem
import boragering.core.ProblemKind
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Creates the problems that callers receive for failed requests. */
@Suppress("TooManyFunctions") // One short factory function for each kind of problem.
internal object Problems {
    fun unknownEntry(entry: EntryName) =
        Problem(ProblemKind.UNKNOWN_ENTRY, NOT_FOUND, "there is no entry $entry", Outcome.NOT_RUN)

    fun unknownRoute(request: CallerRequest) = Problem(
        ProblemKind.UNKNOWN_ROUTE,
        NOT_FOUND,
        "entry ${request.entry} has no route ${request.method} ${request.path.substringBefore('?')}",
        Outcome.NOT_RUN,
    )

    fun invalid(detail: String) = Problem(ProblemKind.INVALID_REQUEST, BAD_REQUEST, detail, Outcome.NOT_RUN)

    fun keyRequired(request: CallerRequest) = Problem(
        ProblemKind.KEY_REQUIRED,
        BAD_REQUEST,
        "requests of this kind to entry ${request.entry} need an Idempotency-Key",
        Outcome.NOT_RUN,
    )

    fun keyReused() = Problem(
        ProblemKind.KEY_REUSED,
        UNPROCESSABLE,
        "the Idempotency-Key was used with another request; this request was not sent",
        Outcome.NOT_RUN,
    )

    fun keyExpired() = Problem(
        ProblemKind.KEY_EXPIRED,
        CONFLICT,
        "the Idempotency-Key is older than the time for which outcomes are kept",
        Outcome.UNKNOWN,
    )

    fun inProgress() = Problem(
        ProblemKind.DUPLICATE,
        CONFLICT,
        "a request with this Idempotency-Key is in progress, or its outcome is unknown",
        Outcome.UNKNOWN,
        RETRY_SOON_SECONDS,
    )

    fun outcomeUnknown(reason: String) = Problem(
        ProblemKind.DUPLICATE,
        CONFLICT,
        "the outcome of the request with this Idempotency-Key is unknown: $reason",
        Outcome.UNKNOWN,
    )

    fun alreadyRan(status: Int) = Problem(
        ProblemKind.DUPLICATE,
        CONFLICT,
        "the request with this Idempotency-Key ran with status $status; its answer was not kept",
        Outcome.RAN,
    )

    fun rateLimited(wait: Duration) = Problem(
        ProblemKind.RATE_LIMITED,
        TOO_MANY_REQUESTS,
        "the organisation's rate limit for this entry is used up",
        Outcome.NOT_RUN,
        seconds(wait),
    )

    fun overloaded(detail: String, wait: Duration) =
        Problem(ProblemKind.OVERLOADED, UNAVAILABLE, detail, Outcome.NOT_RUN, seconds(wait))

    fun noTarget(entry: EntryName) = Problem(
        ProblemKind.NO_TARGET,
        UNAVAILABLE,
        "no target of entry $entry can take requests",
        Outcome.NOT_RUN,
        RETRY_WITHOUT_TARGET_SECONDS,
    )

    fun storeUnavailable(detail: String, outcome: Outcome) =
        Problem(ProblemKind.STORE_UNAVAILABLE, UNAVAILABLE, detail, outcome, RETRY_SOON_SECONDS)

    fun claimsFull() = Problem(
        ProblemKind.STORE_UNAVAILABLE,
        UNAVAILABLE,
        "no more claims of non-repeatable requests can be stored until older claims reach the end of their retention",
        Outcome.NOT_RUN,
        RETRY_WHEN_FULL_SECONDS,
    )

    fun deadlineExceeded(detail: String, outcome: Outcome, retryAfter: Int? = RETRY_SOON_SECONDS) =
        Problem(ProblemKind.DEADLINE_EXCEEDED, GATEWAY_TIMEOUT, detail, outcome, retryAfter)

    fun targetFailed(detail: String, outcome: Outcome, retryAfter: Int?) =
        Problem(ProblemKind.TARGET_FAILED, BAD_GATEWAY, detail, outcome, retryAfter)

    fun draining() = Problem(
        ProblemKind.DRAINING,
        UNAVAILABLE,
        "this daemon is shutting down",
        Outcome.NOT_RUN,
        RETRY_SOON_SECONDS,
    )

    fun notReady() = Problem(
        ProblemKind.NOT_READY,
        UNAVAILABLE,
        "this daemon has no catalogue yet",
        Outcome.NOT_RUN,
        RETRY_WITHOUT_TARGET_SECONDS,
    )

    /**
     * Adds to [problem] of an unclaimed request that "not run" holds for this request only: an earlier request with the
     * same key may have run.
     */
    fun noteEarlierRequests(problem: Problem, request: CallerRequest): Problem =
        if (request.idempotencyKey == null || problem.outcome != Outcome.NOT_RUN) {
            problem
        } else {
            problem.copy(detail = "${problem.detail}; earlier requests with this Idempotency-Key may have run")
        }

    /** Converts [wait] to whole seconds, rounded up, at least 1. */
    private fun seconds(wait: Duration): Int = ceil(wait.toDouble(DurationUnit.SECONDS)).toInt().coerceAtLeast(1)

    /** Seconds after which a transient fault has usually passed. */
    const val RETRY_SOON_SECONDS = 1

    /** Seconds within which a lost member is detected and the group's replacement can be formed. */
    private const val RETRY_WITHOUT_TARGET_SECONDS = 5

    /** Seconds within which claims can reach the end of their retention. A full shard empties slowly. */
    private const val RETRY_WHEN_FULL_SECONDS = 60

    private const val BAD_REQUEST = 400
    private const val NOT_FOUND = 404
    private const val CONFLICT = 409
    private const val UNPROCESSABLE = 422
    private const val TOO_MANY_REQUESTS = 429
    private const val BAD_GATEWAY = 502
    private const val UNAVAILABLE = 503
    private const val GATEWAY_TIMEOUT = 504
}
