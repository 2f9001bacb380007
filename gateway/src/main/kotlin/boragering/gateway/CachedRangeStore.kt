package boragering.gateway

import arrow.core.Either
import arrow.core.right
import boragering.core.Store
import boragering.core.StoreFailure
import boragering.core.StoredValue
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.withContext
import kotlin.time.Duration.Companion.seconds

/**
 * A [Store] that answers range reads from this gateway's document replica while that is up to date, and delegates all
 * other calls to [store]. Otherwise hundreds of gateways would each read the same range from the store.
 */
class CachedRangeStore(
    private val store: Store,
    private val loop: GatewayLoop,
    private val replica: () -> DocumentReplica,
) : Store by store {
    override suspend fun range(prefix: String): Either<StoreFailure, PersistentList<StoredValue>> =
        withContext(loop.dispatcher) { cachedRange(prefix) }?.right() ?: store.range(prefix)

    private fun cachedRange(prefix: String): PersistentList<StoredValue>? {
        val staleness = replica().follower.freshness.staleness
        if (staleness == null || staleness > MAX_STALENESS) return null
        return replica().mirror.all().filter { it.key.startsWith(prefix) }.sortedBy { it.key }.toPersistentList()
    }

    private companion object {
        /** Staleness of the replica up to which it is used instead of the store. */
        val MAX_STALENESS = 2.seconds
    }
}
