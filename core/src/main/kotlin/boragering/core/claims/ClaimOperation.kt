package boragering.core.claims

import kotlinx.collections.immutable.PersistentMap

/**
 * A change to one claim. Applying an operation again to a document that already contains it changes nothing, so a
 * write whose response was lost can be repeated.
 */
internal sealed interface ClaimOperation {
    /** Writes a new pending claim. */
    data class Open(val claim: Claim) : ClaimOperation

    /** Sets the final [state] of the claim that this attempt wrote. */
    data class Close(val claim: Claim, val state: ClaimState) : ClaimOperation
}

/** The result of an operation. */
internal sealed interface ClaimResult {
    /** The document contains the effect of the operation. */
    data object Written : ClaimResult

    /** Another request holds the key; [claim] is its record. */
    data class Taken(val claim: Claim) : ClaimResult

    /** The shard has no room for another claim. */
    data object Full : ClaimResult

    /** Nothing was written, and nothing will be. */
    data class NotWritten(val reason: String) : ClaimResult

    /** The operation may have been written, or may still be written. */
    data class Uncertain(val reason: String) : ClaimResult
}

/** Applies operations to the claims of a shard. */
internal class ClaimEditor(private var claims: PersistentMap<String, Claim>, private val now: Long) {
    private var size = claims.values.sumOf { it.encodedSize }

    /** Whether any operation has changed the claims. */
    var changed = false
        private set

    /** Returns the claims after all operations. Expired claims are removed only if an operation changed the claims. */
    fun result(): PersistentMap<String, Claim> {
        val expired = claims.values.filter { it.expiresAt < now }.map { it.identity }
        return if (changed) expired.fold(claims) { rest, identity -> rest.remove(identity) } else claims
    }

    /** Applies [operation] to the claims. */
    fun apply(operation: ClaimOperation): ClaimResult = when (operation) {
        is ClaimOperation.Open -> open(operation.claim)
        is ClaimOperation.Close -> close(operation.claim, operation.state)
    }

    private fun open(claim: Claim): ClaimResult {
        val present = claims[claim.identity]?.takeIf { it.expiresAt >= now }
        return when {
            present == null || reclaimable(present, claim) -> insert(claim)
            present.sameAttempt(claim) -> ClaimResult.Written
            else -> ClaimResult.Taken(present)
        }
    }

    private fun reclaimable(present: Claim, claim: Claim): Boolean =
        present.state == ClaimState.NotRun && !present.sameAttempt(claim) && present.fingerprint == claim.fingerprint

    private fun insert(claim: Claim): ClaimResult {
        if (size + claim.encodedSize > NEW_CLAIM_SIZE_LIMIT) freeSpace(claim.encodedSize)
        if (size + claim.encodedSize > NEW_CLAIM_SIZE_LIMIT) return ClaimResult.Full
        put(claim)
        return ClaimResult.Written
    }

    /** Removes expired claims, then the stored bodies of the oldest finished requests, until [requiredSize] fits. */
    private fun freeSpace(requiredSize: Int) {
        claims.values.filter { it.expiresAt < now }.forEach(::remove)
        val withBody = claims.values
            .filter { (it.state as? ClaimState.Finished)?.body != null }
            .sortedBy { it.writtenAt }
        withBody.asSequence().takeWhile { size + requiredSize > NEW_CLAIM_SIZE_LIMIT }.forEach { claim ->
            put(claim.copy(state = (claim.state as ClaimState.Finished).copy(body = null)))
        }
    }

    /**
     * An absent claim was either never written, or a delayed write may still add it. Writing its final state moves the
     * document's revision, after which the delayed write can no longer take effect.
     */
    private fun close(claim: Claim, state: ClaimState): ClaimResult {
        val present = claims[claim.identity]
        val open = when {
            present == null -> true
            present.sameAttempt(claim) -> present.state == ClaimState.Pending
            else -> present.state == ClaimState.NotRun
        }
        if (open) put(closed(claim, state))
        return ClaimResult.Written
    }

    private fun closed(claim: Claim, state: ClaimState): Claim {
        val exceedsBodyLimit = state is ClaimState.Finished && size + state.variableSize > BODY_SIZE_LIMIT
        val keptState = if (exceedsBodyLimit) state.copy(body = null) else state
        val expiresAt = if (state == ClaimState.NotRun) now + NOT_RUN_RETENTION_MILLISECONDS else claim.expiresAt
        return claim.copy(state = keptState, expiresAt = minOf(expiresAt, claim.expiresAt))
    }

    private fun put(claim: Claim) {
        claims[claim.identity]?.let { size -= it.encodedSize }
        claims = claims.put(claim.identity, claim)
        size += claim.encodedSize
        changed = true
    }

    private fun remove(claim: Claim) {
        claims = claims.remove(claim.identity)
        size -= claim.encodedSize
        changed = true
    }

    companion object {
        /** The store accepts values of up to 1 MB; the space above this limit is needed to close claims. */
        const val NEW_CLAIM_SIZE_LIMIT = 600 * 1024

        /** Document size above which bodies are no longer kept. */
        const val BODY_SIZE_LIMIT = 750 * 1024

        /** A request closed as not run can be claimed again at once, so its record is useful only for a short time. */
        private const val NOT_RUN_RETENTION_MILLISECONDS = 600_000L
    }
}
