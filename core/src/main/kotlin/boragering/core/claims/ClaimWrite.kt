package boragering.core.claims

import arrow.core.Either
import boragering.core.StoreFailure
import boragering.core.StoredValue
import kotlinx.coroutines.CompletableDeferred

/** An operation that is waiting for its result. The shard's lock guards [final] and [abandoned]. */
internal class SubmittedOperation(val operation: ClaimOperation) {
    val result = CompletableDeferred<ClaimResult>()
    var final: ClaimResult? = null
    var abandoned = false
}

/** The state of one write over all its attempts. */
internal class ClaimWrite(batch: List<SubmittedOperation>, val unresolved: List<ClaimOperation>) {
    var batch = batch
        private set
    var results: List<ClaimResult> = emptyList()
        private set
    var failures = 0
        private set
    var succeeded = false
        private set
    val ended get() = succeeded || gaveUp
    private var gaveUp = false
    private var conflicts = 0
    private var uncertain = false
    private var rejected: List<Pair<SubmittedOperation, ClaimResult>> = emptyList()

    fun succeed(results: List<ClaimResult>) {
        this.results = results
        succeeded = true
    }

    /** Records that another daemon wrote first. From the second conflict on, a random delay prevents further ones. */
    fun recordConflict() {
        conflicts++
        if (conflicts > 1) failures++
        if (conflicts >= MAXIMUM_CONFLICTS) giveUp("every attempt conflicted with a write of another daemon")
    }

    /** Records a failed call. New claims are rejected at once if nothing can have been written; others are retried. */
    fun recordFailure(failure: StoreFailure) {
        uncertain = uncertain || failure is StoreFailure.Uncertain
        failures++
        if (!uncertain) rejectNewClaims(failure.reason)
        if (batch.isEmpty() || failures >= MAXIMUM_FAILURES) giveUp(failure.reason)
    }

    /** Decodes the document that was read; returns `null` if the read failed or the document is malformed. */
    fun decodeRead(answer: Either<StoreFailure, StoredValue?>): StoredClaims? = answer.fold(
        { failure -> null.also { recordFailure(StoreFailure.NotApplied(failure.reason)) } },
        { stored ->
            ClaimCodec.decode(stored).also { if (it == null) giveUp("the document ${stored?.key} is malformed") }
        },
    )

    /** Returns and clears the operations that were rejected before the rest of the batch. */
    fun takeRejected(): List<Pair<SubmittedOperation, ClaimResult>> = rejected.also { rejected = emptyList() }

    private fun rejectNewClaims(reason: String) {
        val (newClaims, remaining) = batch.partition { it.operation is ClaimOperation.Open }
        rejected = newClaims.map { it to ClaimResult.NotWritten(reason) }
        batch = remaining
    }

    private fun giveUp(reason: String) {
        val result = if (uncertain) ClaimResult.Uncertain(reason) else ClaimResult.NotWritten(reason)
        results = batch.map { result }
        gaveUp = true
    }

    private companion object {
        const val MAXIMUM_CONFLICTS = 20
        const val MAXIMUM_FAILURES = 5
    }
}
