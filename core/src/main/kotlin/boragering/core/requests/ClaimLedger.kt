package boragering.core.requests

import boragering.core.CallerRequest
import boragering.core.Outcome
import boragering.core.Problem
import boragering.core.ThreadSafeRandom
import boragering.core.catalogue.Entry
import boragering.core.claims.Claim
import boragering.core.claims.ClaimClock
import boragering.core.claims.ClaimContext
import boragering.core.claims.ClaimDigests
import boragering.core.claims.ClaimOperation
import boragering.core.claims.ClaimResult
import boragering.core.claims.ClaimShard
import boragering.core.claims.ClaimState
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.commons.codec.binary.Base64
import org.apache.commons.codec.digest.MurmurHash3
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * Records claims of non-repeatable requests in the store, so that each request runs at most once.
 *
 * Writes run in [scope], so that they continue when the caller disconnects. [scope] must stay active until [drain] has
 * returned after the daemon's last request. All daemons must use the same [shardCount].
 */
class ClaimLedger(ports: RequestPorts, scope: CoroutineScope, private val shardCount: Int = DEFAULT_SHARDS) {
    private val self = ports.peers.self.daemon
    private val clock = ClaimClock(ports.clock)
    private val random = ThreadSafeRandom(ports.random)
    private val tokens = AtomicLong()
    private val context = ClaimContext(ports.store, clock, random, scope, ports.metrics)
    private val claimShards = List(shardCount) { ClaimShard("$KEY_PREFIX$it", context) }

    /**
     * Claims [request] for this daemon. The request may be sent to a target only if the result is [OpenResult.Claimed].
     */
    internal suspend fun open(entry: Entry, request: CallerRequest, key: String, timeout: Duration): OpenResult {
        val refusal = validateKey(key, entry.claimRetention)
        return if (refusal != null) OpenResult.Rejected(refusal) else write(newClaim(entry, request, key), timeout)
    }

    /** Records the outcome of the claimed request. Returns whether the record is known to be written. */
    internal suspend fun close(claim: Claim, state: ClaimState, timeout: Duration): Boolean =
        shard(claim).submit(ClaimOperation.Close(claim, state), timeout) == ClaimResult.Written

    /** Records the outcome of the claimed request in the background. */
    internal fun closeLater(claim: Claim, state: ClaimState) =
        shard(claim).submitInBackground(ClaimOperation.Close(claim, state))

    /**
     * Waits up to [timeout] until all writes are done, and returns whether they are. Call it after the last request has
     * ended.
     */
    suspend fun drain(timeout: Duration): Boolean = withTimeoutOrNull(timeout) {
        while (!claimShards.all { it.idle }) delay(DRAIN_INTERVAL)
    } != null

    private suspend fun write(claim: Claim, timeout: Duration): OpenResult =
        when (val result = shard(claim).submit(ClaimOperation.Open(claim), timeout)) {
            ClaimResult.Written -> OpenResult.Claimed(claim)
            ClaimResult.Full -> OpenResult.Rejected(Problems.claimsFull())
            is ClaimResult.Taken -> existingClaimResult(claim, result.claim)
            is ClaimResult.NotWritten -> OpenResult.Rejected(
                Problems.storeUnavailable("the request could not be claimed: ${result.reason}", Outcome.NOT_RUN),
            )
            is ClaimResult.Uncertain -> OpenResult.Rejected(
                Problems.storeUnavailable("the request may have been claimed: ${result.reason}", Outcome.UNKNOWN),
            )
        }

    private fun existingClaimResult(claim: Claim, existing: Claim): OpenResult {
        val state = existing.state
        return when {
            existing.fingerprint != claim.fingerprint -> OpenResult.Rejected(Problems.keyReused())
            state is ClaimState.Finished && state.body != null -> OpenResult.AlreadyFinished(state)
            state is ClaimState.Finished -> OpenResult.Rejected(Problems.alreadyRan(state.status))
            state is ClaimState.Unknown -> OpenResult.Rejected(Problems.outcomeUnknown(state.reason))
            else -> OpenResult.Rejected(Problems.inProgress())
        }
    }

    private fun newClaim(entry: Entry, request: CallerRequest, key: String): Claim {
        val now = clock.latest
        return Claim(
            identity = ClaimDigests.identity(request, key),
            fingerprint = ClaimDigests.fingerprint(request),
            token = "${tokens.incrementAndGet()}-${Base64.encodeBase64URLSafeString(random.nextBytes(TOKEN_BYTES))}",
            daemon = self,
            writtenAt = now,
            expiresAt = now + (entry.claimRetention + CLOCK_MARGIN).inWholeMilliseconds,
        )
    }

    /**
     * Returns the problem with a key that contains its creation time. Such a key is refused when its claim may already
     * have been removed. A key from the future is also refused, because it would still be valid after its claim has
     * been removed.
     */
    private fun validateKey(key: String, retention: Duration): Problem? {
        val createdAt = KeyTimestamp.epochMilliseconds(key)
        return when {
            createdAt == null -> null
            clock.latest - createdAt > (retention - CLOCK_MARGIN).inWholeMilliseconds -> Problems.keyExpired()
            createdAt - clock.earliest > CLOCK_MARGIN.inWholeMilliseconds ->
                Problems.invalid("the Idempotency-Key's creation time is in the future")
            else -> null
        }
    }

    private fun shard(claim: Claim): ClaimShard =
        claimShards[Math.floorMod(MurmurHash3.hash32x86(claim.identity.toByteArray()), shardCount)]

    companion object {
        /** Prefix of the store keys of all claims. */
        const val KEY_PREFIX = "boragering/claims/"

        /** Default number of documents among which claims are distributed. */
        const val DEFAULT_SHARDS = 64

        /** Maximum difference assumed between the wall clocks of daemons and callers. */
        private val CLOCK_MARGIN = 5.minutes
        private val DRAIN_INTERVAL = 20.milliseconds
        private const val TOKEN_BYTES = 9
    }
}

/** Result of claiming a request. */
internal sealed interface OpenResult {
    /** The request may be sent. */
    data class Claimed(val claim: Claim) : OpenResult

    /** The request already ran, and its answer is recorded. */
    data class AlreadyFinished(val finished: ClaimState.Finished) : OpenResult

    /** The request must not be sent. */
    data class Rejected(val problem: Problem) : OpenResult
}

/** Reads the creation time from idempotency keys. */
internal object KeyTimestamp {
    /** Milliseconds since the Unix epoch if [key] is a version 7 UUID, otherwise `null`. */
    fun epochMilliseconds(key: String): Long? = UUID_7.matchEntire(key.trim())?.let { match ->
        (match.groupValues[1] + match.groupValues[2]).toLong(HEXADECIMAL_RADIX)
    }

    private val UUID_7 =
        Regex("([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}", RegexOption.IGNORE_CASE)
    private const val HEXADECIMAL_RADIX = 16
}
