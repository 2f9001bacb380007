package boragering.core.catalogue

import arrow.core.Either
import arrow.core.getOrElse
import boragering.core.Clock
import boragering.core.Store
import boragering.core.StoreFailure
import boragering.core.StoreRevision
import boragering.core.SwapOutcome
import boragering.core.membership.Item
import boragering.core.membership.Items
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.commons.codec.digest.DigestUtils
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Changes the stored catalogue on behalf of operators. Several daemons can write at the same time, because each change
 * is one compare-and-swap of the head. Safe for use by several coroutines.
 */
class CatalogueWriter(
    private val store: Store,
    private val items: Items,
    private val clock: Clock,
    private val random: Random,
) {
    private val loader = CatalogueLoader(store)
    private val compaction = CatalogueCompaction(store, items)

    /**
     * Applies the document in [request]. The answer is `ACCEPTED`, `CONFLICT`, `INVALID` or `UNAVAILABLE` only if that
     * is certain. A token that was accepted gets the same answer again as long as the history contains it.
     */
    suspend fun apply(request: ApplyRequest): ApplyAnswer =
        CatalogueSubmission.of(request).fold(
            { ApplyAnswer(ApplyResult.INVALID, findings = it) },
            { submit(it) },
        )

    /** Returns the accepted changes that are still in the stored history, newest first. */
    suspend fun history(): Either<StoreFailure, HistoryAnswer> =
        loader.load().map { loaded -> HistoryAnswer(loaded.state.history.reversed().map { it.accepted }) }

    private suspend fun submit(submission: CatalogueSubmission): ApplyAnswer {
        // The store revision of the head on which a write with an unknown outcome was based.
        var pending: StoreRevision? = null
        var answer: ApplyAnswer? = null
        var attempt = 0
        while (answer == null && attempt < MAXIMUM_ATTEMPTS) {
            if (attempt > 0) delay(RETRY_DELAY * (attempt + random.nextDouble()))
            attempt++
            val loaded = loader.load().getOrElse { failure ->
                if (pending == null) answer = unavailable(failure)
                null
            }
            // A head that has changed without the token proves that the pending write can no longer take effect.
            if (loaded != null && loaded.storeRevision != pending) pending = null
            answer = answer ?: loaded?.let { submission.decide(it, loader) }
            if (loaded != null && answer == null) {
                val written = write(submission, loaded, pending != null)
                answer = written.answer
                if (written.uncertain) pending = loaded.storeRevision
            }
        }
        return answer ?: attemptsExhausted(pending != null)
    }

    /** Writes the change. Repeating the write is safe: at most one compare-and-swap on a given revision can succeed. */
    private suspend fun write(submission: CatalogueSubmission, loaded: LoadedCatalogue, pending: Boolean): WriteResult {
        val change = submission.change(loaded.state.catalogue, clock.wallMilliseconds())
        val head = HeadDocument(
            revision = change.record.accepted.revision,
            snapshot = loaded.head.snapshot,
            changes = loaded.head.changes + change,
        )
        val text = CatalogueKeys.encode(head)
        return store.compareAndSwap(CatalogueKeys.HEAD, loaded.storeRevision, text).fold(
            { failure ->
                when {
                    failure is StoreFailure.Uncertain -> WriteResult(null, uncertain = true)
                    pending -> WriteResult(null, uncertain = true)
                    else -> WriteResult(unavailable(failure), uncertain = false)
                }
            },
            { outcome ->
                if (outcome is SwapOutcome.Swapped) publish(loaded, head, text, outcome.revision)
                WriteResult(
                    submission.answer(change.record).takeIf { outcome is SwapOutcome.Swapped },
                    uncertain = false,
                )
            },
        )
    }

    private suspend fun publish(loaded: LoadedCatalogue, head: HeadDocument, text: String, at: StoreRevision) {
        items.accept(Item(CatalogueKeys.HEAD, head.revision, text))
        loaded.state.after(head)?.onRight { state ->
            withTimeoutOrNull(COMPACTION_TIMEOUT) { compaction.compact(LoadedCatalogue(loaded.base, state, head, at)) }
        }
    }

    private fun unavailable(failure: StoreFailure) =
        ApplyAnswer(ApplyResult.UNAVAILABLE, detail = "nothing was written: ${failure.reason}")

    private fun attemptsExhausted(pending: Boolean) = if (pending) {
        ApplyAnswer(ApplyResult.UNKNOWN, detail = "the store did not confirm the change; send the same token again")
    } else {
        ApplyAnswer(
            ApplyResult.UNAVAILABLE,
            detail = "nothing was written: the head changed in each of $MAXIMUM_ATTEMPTS attempts",
        )
    }

    private data class WriteResult(val answer: ApplyAnswer?, val uncertain: Boolean)

    companion object {
        /** Number of accepted changes, with their tokens, in the history. */
        const val HISTORY_LIMIT = CatalogueState.HISTORY_LIMIT

        private const val MAXIMUM_ATTEMPTS = 6
        private val RETRY_DELAY = 200.milliseconds

        // The change is already accepted, so a slow store must not delay the answer to the operator.
        private val COMPACTION_TIMEOUT = 5.seconds
    }
}

/** Returns a digest of a catalogue without its revision. */
internal fun fingerprint(catalogue: Catalogue): String =
    DigestUtils.sha256Hex(CatalogueFormat.json(catalogue.copy(revision = 0)).toString())
