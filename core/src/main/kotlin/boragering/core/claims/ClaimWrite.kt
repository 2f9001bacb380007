package boragering.core.claims

import arrow.core.Either
import boragering.core.StoreFailure
import boragering.core.StoredValue
import kotlinx.coroutines.CompletableDeferred

/** An operation that waits for its result; [final] and [abandoned] are guarded by the shard's lock. */
internal class SubmittedOperation(val operation: ClaimOperation) {
    val result = CompletableDeferred<ClaimResult>()
    var final: ClaimResult? = null
    var abandoned = false
}

/** The state of one write through all its tries. */
internal class ClaimWrite(batch: List<SubmittedOperation>, val unsettled: List<ClaimOperation>) {
    var batch = batch
        private set
    var results: List<ClaimResult> = emptyList()
        private set
    var failures = 0
        private set
    var settled = false
        private set
    val ended get() = settled || gaveUp
    private var gaveUp = false
    private var conflicts = 0
    private var uncertain = false
    private var refused: List<Pair<SubmittedOperation, ClaimResult>> = emptyList()

    fun succeed(results: List<ClaimResult>) {
        this.results = results
        settled = true
    }

    /** Another daemon's write came first; from the second time on, a random pause avoids further conflicts. */
    fun conflict() {
        conflicts++
        if (conflicts > 1) failures++
        if (conflicts >= MAXIMUM_CONFLICTS) giveUp("other daemons wrote the shard each time")
    }

    /** New claims are refused at once while the store fails; closing ones get all tries. */
    fun failed(failure: StoreFailure) {
        uncertain = uncertain || failure is StoreFailure.Uncertain
        failures++
        if (!uncertain) refuseOpening(failure.reason)
        if (batch.isEmpty() || failures >= MAXIMUM_FAILURES) giveUp(failure.reason)
    }

    /** Takes a read document; `null` when there is none to go on with. */
    fun read(answer: Either<StoreFailure, StoredValue?>): StoredClaims? = answer.fold(
        { failure -> null.also { failed(StoreFailure.NotApplied(failure.reason)) } },
        { stored ->
            ClaimCodec.decode(stored).also { if (it == null) giveUp("the document ${stored?.key} is malformed") }
        },
    )

    /** Operations that ended before the rest of the batch. */
    fun takeRefused(): List<Pair<SubmittedOperation, ClaimResult>> = refused.also { refused = emptyList() }

    private fun refuseOpening(reason: String) {
        val (opening, closing) = batch.partition { it.operation is ClaimOperation.Open }
        refused = opening.map { it to ClaimResult.NotWritten(reason) }
        batch = closing
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
