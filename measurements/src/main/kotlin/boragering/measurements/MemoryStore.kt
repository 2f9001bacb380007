package boragering.measurements

import arrow.core.Either
import arrow.core.right
import boragering.core.LeaseId
import boragering.core.Store
import boragering.core.StoreFailure
import boragering.core.StoreRevision
import boragering.core.StoredValue
import boragering.core.SwapOutcome
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.delay
import kotlin.time.Duration

/** A store in memory that answers after [latency] and counts its writes. */
class MemoryStore(private val latency: Duration = Duration.ZERO) : Store {
    /** What is stored. */
    val values = sortedMapOf<String, StoredValue>()

    /** Writes that took effect. */
    var writes = 0
        private set

    /** Bytes of the values that were written. */
    var writtenBytes = 0L
        private set

    private var revision = 0L

    override suspend fun get(key: String) = answer(latency) { values[key] }

    override suspend fun getIfNewer(key: String, revision: StoreRevision) =
        answer(latency) { values[key]?.takeIf { it.revision > revision } }

    override suspend fun range(prefix: String) =
        answer(latency) { values.values.filter { it.key.startsWith(prefix) }.toPersistentList() }

    override suspend fun compareAndSwap(key: String, expected: StoreRevision, value: String, lease: LeaseId?) =
        answer(latency) { swap(key, expected) { written -> values[key] = StoredValue(key, value, written) } }
            .onRight { if (it is SwapOutcome.Swapped) writtenBytes += value.length }

    override suspend fun compareAndDelete(key: String, expected: StoreRevision) =
        answer(latency) { swap(key, expected) { values.remove(key) } }

    override suspend fun grantLease(timeToLive: Duration) = error("not measured")

    override suspend fun renewLease(lease: LeaseId) = error("not measured")

    override suspend fun revokeLease(lease: LeaseId) = error("not measured")

    override suspend fun awaitChange(prefix: String, after: StoreRevision, timeout: Duration) = error("not measured")

    private fun swap(key: String, expected: StoreRevision, apply: (StoreRevision) -> Unit): SwapOutcome {
        val current = values[key]
        if ((current?.revision ?: StoreRevision.NONE) != expected) return SwapOutcome.Conflict(current)
        val written = StoreRevision(++revision)
        writes++
        apply(written)
        return SwapOutcome.Swapped(written)
    }
}

private suspend fun <T> answer(latency: Duration, effect: () -> T): Either<StoreFailure, T> {
    if (latency > Duration.ZERO) delay(latency)
    return effect().right()
}
