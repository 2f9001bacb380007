package boragering.core.requests

import boragering.core.Outcome
import boragering.core.Problem
import boragering.core.claims.Claim
import boragering.core.claims.ClaimState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The claim of one request, and what is certain about whether a target ran it. Used by one coroutine. */
internal class RequestClaim(private val claims: ClaimLedger, private val plan: RequestPlan) {
    private var claim: Claim? = null

    /** Whether a target may have run the request, or may still run it. */
    var mayHaveRun = false

    /** Whether the request was claimed. */
    val isClaimed: Boolean get() = claim != null

    /** Claims the request if it is not repeatable; `null` when it is not needed or was done before. */
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

    /** Records the whole answer. */
    suspend fun recordFinished(answer: ClaimState.Finished) {
        claim?.let { claims.close(it, answer, FINISH_TIMEOUT) }
    }

    /** Closes the claim of a request that closeFailed with [problem]; returns what the caller may be told. */
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

    /** Closes the claim of a request whose caller went away. */
    fun closeCancelled() {
        claim?.let { claims.closeLater(it, if (mayHaveRun) unknown("the caller went away") else ClaimState.NotRun) }
    }

    private fun unknown(reason: String) = ClaimState.Unknown(reason.filter { it in PRINTABLE_ASCII }.take(MAXIMUM_REASON_LENGTH))

    private companion object {
        /** How long the end of an answer waits for its record; the record is written in the background after that. */
        val FINISH_TIMEOUT = 1.seconds

        /** How long a caller who is told "not run" waits for the claim to be closed; after that it is "unknown". */
        val CLOSE_TIMEOUT = 1.seconds
        val PRINTABLE_ASCII = ' '..'~'

        /** The store bounds the size of the shard's document. */
        const val MAXIMUM_REASON_LENGTH = 100
    }
}
