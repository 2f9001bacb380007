package boragering.core.claims

import arrow.core.Either
import boragering.core.Backoff
import boragering.core.RequestMetrics
import boragering.core.Store
import boragering.core.SwapOutcome
import kotlinx.collections.immutable.PersistentMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Dependencies shared by all claim shards. */
internal data class ClaimContext(
    val store: Store,
    val clock: ClaimClock,
    val random: Random,
    val scope: CoroutineScope,
    val metrics: RequestMetrics,
)

/**
 * Manages one document of claims. At most one write is in progress; operations that arrive meanwhile are batched into
 * the next write.
 *
 * Every write is a compare-and-swap on the document's revision. A write whose response was lost may still take effect
 * until the revision has moved. An operation is therefore reported as written or refused only after a write at the same
 * revision succeeded, or after a read returned a document that already contains the operation.
 */
internal class ClaimShard(private val key: String, private val context: ClaimContext) {
    private val lock = Any()
    private val queue = ArrayDeque<SubmittedOperation>()
    private val queueSignal = Channel<Unit>(Channel.CONFLATED)
    private var writerRunning = false

    /** Operations that were given up with an unknown result. Each write repeats them until one write succeeds. */
    private var unresolved = listOf<ClaimOperation>()

    /** The newest document that is known; used by the writer only. */
    private var cachedClaims: StoredClaims? = null

    /** Applies [operation] and waits up to [timeout] for the result. */
    suspend fun submit(operation: ClaimOperation, timeout: Duration): ClaimResult {
        val submitted = SubmittedOperation(operation)
        enqueue(submitted)
        var result: ClaimResult? = null
        try {
            result = withTimeoutOrNull(timeout) { submitted.result.await() } ?: abandon(submitted)
        } finally {
            // If the caller was cancelled, it cannot use a claim that was written, so the claim is closed as not run.
            val claimed = result == null && abandon(submitted) == ClaimResult.Written
            if (claimed && operation is ClaimOperation.Open) {
                submitInBackground(ClaimOperation.Close(operation.claim, ClaimState.NotRun))
            }
        }
        return checkNotNull(result)
    }

    /** Queues [operation] for writing and returns without waiting for the result. */
    fun submitInBackground(operation: ClaimOperation) = enqueue(SubmittedOperation(operation))

    /** Whether no operation is waiting to be written. */
    val idle: Boolean get() = synchronized(lock) { !writerRunning }

    private fun enqueue(submitted: SubmittedOperation) {
        val start = synchronized(lock) {
            queue.addLast(submitted)
            !writerRunning.also { writerRunning = true }
        }
        if (start) context.scope.launch { writeUntilEmpty() } else queueSignal.trySend(Unit)
    }

    /** Stops waiting for [submitted]. An open claim whose write is in progress is closed as not run afterwards. */
    private fun abandon(submitted: SubmittedOperation): ClaimResult = synchronized(lock) {
        when {
            submitted.final != null -> checkNotNull(submitted.final)
            submitted.operation is ClaimOperation.Open && queue.remove(submitted) ->
                ClaimResult.NotWritten("timed out in the shard's queue")
            else -> ClaimResult.Uncertain("the write timed out").also { submitted.abandoned = true }
        }
    }

    private suspend fun writeUntilEmpty() {
        var failures = 0
        var batch = nextBatch()
        while (batch != null) {
            if (batch.isEmpty()) {
                withTimeoutOrNull(UNRESOLVED_BACKOFF.delayAfter(failures.coerceAtLeast(1), context.random)) {
                    queueSignal.receive()
                }
                batch = nextBatch().orEmpty()
            }
            failures = if (write(batch)) 0 else failures + 1
            batch = nextBatch()
        }
    }

    /** Takes the next operations to write: empty if only unresolved ones remain, `null` if nothing remains. */
    private fun nextBatch(): List<SubmittedOperation>? = synchronized(lock) {
        writerRunning = queue.isNotEmpty() || unresolved.isNotEmpty()
        val batch = queue.take(MAXIMUM_BATCH).also { taken -> repeat(taken.size) { queue.removeFirst() } }
        batch.takeIf { writerRunning }
    }

    /** Writes [batch] and the unresolved operations, with retries; returns whether they were written. */
    private suspend fun write(batch: List<SubmittedOperation>): Boolean {
        val attempt = ClaimWrite(batch, synchronized(lock) { unresolved })
        while (!attempt.ended) {
            if (attempt.failures > 0) delay(RETRY_BACKOFF.delayAfter(attempt.failures, context.random))
            attemptWrite(attempt)
            completeAll(attempt.takeRejected())
        }
        synchronized(lock) { if (attempt.succeeded) unresolved = unresolved.drop(attempt.unresolved.size) }
        completeAll(attempt.batch.zip(attempt.results))
        return attempt.succeeded
    }

    private suspend fun attemptWrite(attempt: ClaimWrite) {
        val cached = cachedClaims
        val base = cached ?: attempt.decodeRead(context.store.get(key)) ?: return
        val editor = ClaimEditor(base.claims, context.clock.earliest)
        attempt.unresolved.forEach(editor::apply)
        val results = attempt.batch.map { editor.apply(it.operation) }
        when {
            editor.changed -> swap(attempt, base, editor.result(), results)
            // Another daemon may have changed the document since it was cached, so a refusal needs a fresh read.
            cached != null -> cachedClaims = null
            else -> attempt.succeed(results)
        }
    }

    private suspend fun swap(
        attempt: ClaimWrite,
        base: StoredClaims,
        claims: PersistentMap<String, Claim>,
        results: List<ClaimResult>,
    ) {
        cachedClaims = null
        when (val answer = context.store.compareAndSwap(key, base.revision, ClaimCodec.encode(claims))) {
            is Either.Left -> attempt.recordFailure(answer.value)
            is Either.Right -> when (val outcome = answer.value) {
                is SwapOutcome.Conflict -> {
                    cachedClaims = ClaimCodec.decode(outcome.current)
                    attempt.recordConflict()
                }
                is SwapOutcome.Swapped -> {
                    cachedClaims = StoredClaims(claims, outcome.revision)
                    context.metrics.claimsWritten(attempt.batch.size)
                    attempt.succeed(results)
                }
            }
        }
    }

    private fun completeAll(results: List<Pair<SubmittedOperation, ClaimResult>>) = synchronized(lock) {
        results.forEach { (submitted, result) ->
            val mayBeStored = result is ClaimResult.Uncertain || (submitted.abandoned && result == ClaimResult.Written)
            when (val operation = submitted.operation) {
                is ClaimOperation.Open ->
                    if (mayBeStored) unresolved = unresolved + ClaimOperation.Close(operation.claim, ClaimState.NotRun)
                is ClaimOperation.Close -> if (result != ClaimResult.Written) unresolved = unresolved + operation
            }
            submitted.final = result
            submitted.result.complete(result)
        }
        unresolved = unresolved.takeLast(MAXIMUM_UNRESOLVED)
    }

    private companion object {
        val RETRY_BACKOFF = Backoff(20.milliseconds, 500.milliseconds)

        /** Delays before operations with an unknown result are written again. */
        val UNRESOLVED_BACKOFF = Backoff(2.seconds, 30.seconds)

        /** Maximum number of operations in one write; a larger batch would delay the first operations. */
        const val MAXIMUM_BATCH = 256
        const val MAXIMUM_UNRESOLVED = 1_000
    }
}
