package boragering.core.requests

import boragering.core.Outcome
import boragering.core.Problem
import boragering.core.claims.Claim
import boragering.core.claims.ClaimState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The claim of one request, with the knowledge of whether a target may have run the request. Confined to one coroutine.
 */
internal class RequestClaim(private val claims: ClaimLedger, private val plan: RequestPlan) {
    private var claim: Claim? = null

    /** Whether a target may have run the request or may still run it. */
    var mayHaveRun = false

    /** Whether the request was claimed. */
    val isClaimed: Boolean get() = claim != null

    /** Claims a non-repeatable request. Returns `null` if no claim is needed or the request is already claimed. */
    suspend fun open(timeout: Duration): OpenResult? {
        val key = plan.request.idempotencyKey
        val opened = if (plan.repeatable || claim != null || key == null) {
            null
        } else {
            claims.open(plan.entry, plan.request, key, minOf(timeout, plan.entry.limits.queueTime))
        }
        if (opened is OpenResult.Claimed) claim = opened.claim
        return opened
    }

    /** Records the complete answer. */
    suspend fun recordFinished(answer: ClaimState.Finished) {
        claim?.let { claims.close(it, answer, FINISH_TIMEOUT) }
    }

    /** Closes the claim of a request that failed with [problem]. Returns the outcome to report to the caller. */
    suspend fun closeFailed(problem: Problem): Outcome {
        val held = claim
        return when {
            problem.outcome == Outcome.RAN || mayHaveRun -> {
                if (held != null) claims.closeLater(held, unknown(problem.detail))
                if (problem.outcome == Outcome.RAN) Outcome.RAN else Outcome.UNKNOWN
            }
            held == null || claims.close(held, ClaimState.NotRun, CLOSE_TIMEOUT) -> Outcome.NOT_RUN
            else -> Outcome.UNKNOWN
        }
    }

    /** Closes the claim of a request whose caller disconnected. */
    fun closeCancelled() {
        claim?.let { claims.closeLater(it, if (mayHaveRun) unknown("the caller went away") else ClaimState.NotRun) }
    }

    private fun unknown(reason: String) =
        ClaimState.Unknown(reason.filter { it in PRINTABLE_ASCII }.take(MAXIMUM_REASON_LENGTH))

    private companion object {
        /**
         * How long the end of an answer is delayed until the answer is recorded. After that, it is recorded in the
         * background.
         */
        val FINISH_TIMEOUT = 1.seconds

        /**
         * How long the outcome "not run" is delayed until the claim is closed. After that, the caller is told
         * "unknown".
         */
        val CLOSE_TIMEOUT = 1.seconds
        val PRINTABLE_ASCII = ' '..'~'

        /** Limits the stored reason, because the store limits the size of the shard's document. */
        const val MAXIMUM_REASON_LENGTH = 100
    }
}
