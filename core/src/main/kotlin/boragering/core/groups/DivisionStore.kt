package boragering.core.groups

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import boragering.core.Clock
import boragering.core.FabricDomain
import boragering.core.Store
import boragering.core.StoreFailure
import boragering.core.StoreRevision
import boragering.core.StoredValue
import boragering.core.SwapOutcome
import kotlin.time.Duration

/**
 * A division as the store held it. [readAt] is the time, by the monotonic clock, at which the call that returned the
 * division began; the store held the division at some time after that.
 */
data class StoredDivision(val division: Division, val revision: StoreRevision, val readAt: Duration)

/** The result of writing a division. */
sealed interface WriteResult {
    /** The store holds the division that was to be written. */
    data class Written(val stored: StoredDivision) : WriteResult

    /** Nothing was written, because the store holds another division. */
    data class Conflict(val stored: StoredDivision) : WriteResult

    /** The content of the store is unknown and must be read before the next write. */
    data class Unknown(val reason: String) : WriteResult
}

/** Reads and writes divisions in the store. A write whose response was lost is resolved by reading back. */
class DivisionStore(private val store: Store, private val clock: Clock) {
    /** Reads a domain's division; an empty one with version 0 when the store has none. */
    suspend fun read(domain: FabricDomain): Either<StoreFailure, StoredDivision> {
        val at = clock.monotonic()
        return store.get(Division.key(domain)).fold({ it.left() }, { parse(domain, it, at) })
    }

    /** Confirms that the store still holds [known], or returns what it holds now. */
    suspend fun confirm(known: StoredDivision): Either<StoreFailure, StoredDivision> {
        val at = clock.monotonic()
        val domain = known.division.domain
        return store.getIfNewer(Division.key(domain), known.revision)
            .fold({ it.left() }, { if (it == null) known.copy(readAt = at).right() else parse(domain, it, at) })
    }

    /** Replaces [known] by [next] unless the store has come to hold another value. */
    suspend fun write(known: StoredDivision, next: Division): WriteResult {
        val at = clock.monotonic()
        val key = Division.key(next.domain)
        return store.compareAndSwap(key, known.revision, DivisionDocument.encode(next)).fold(
            { failure ->
                when (failure) {
                    is StoreFailure.Uncertain -> readBack(next)
                    is StoreFailure.NotApplied -> WriteResult.Unknown(failure.reason)
                }
            },
            { outcome ->
                when (outcome) {
                    is SwapOutcome.Swapped -> WriteResult.Written(StoredDivision(next, outcome.revision, at))
                    is SwapOutcome.Conflict -> adopt(next.domain, outcome.current, at)
                }
            },
        )
    }

    /**
     * Reads the store after a write whose result is unknown. That write can still take effect after this read. Because
     * writes use compare-and-swap, either it or the next write then fails.
     */
    private suspend fun readBack(next: Division): WriteResult {
        val stored = read(next.domain).getOrElse { return WriteResult.Unknown(it.reason) }
        return if (stored.division == next) WriteResult.Written(stored) else WriteResult.Conflict(stored)
    }

    private fun adopt(domain: FabricDomain, current: StoredValue?, at: Duration): WriteResult =
        parse(domain, current, at).fold({ WriteResult.Unknown(it.reason) }, { WriteResult.Conflict(it) })

    private fun parse(domain: FabricDomain, value: StoredValue?, at: Duration): Either<StoreFailure, StoredDivision> {
        if (value == null) return StoredDivision(Division(domain, 0), StoreRevision.NONE, at).right()
        val division = DivisionDocument.decode(value.value)?.takeIf { it.domain == domain }
        return division?.let { StoredDivision(it, value.revision, at).right() }
            ?: StoreFailure.NotApplied("${value.key} at revision ${value.revision} is not a division of $domain").left()
    }
}
