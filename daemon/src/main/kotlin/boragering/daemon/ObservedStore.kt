package boragering.daemon

import arrow.core.Either
import boragering.adapters.MetricRegistry
import boragering.core.LeaseId
import boragering.core.Store
import boragering.core.StoreFailure
import boragering.core.StoreRevision
import boragering.core.StoredValue
import boragering.core.SwapOutcome
import kotlinx.collections.immutable.PersistentList
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration

/**
 * Counts the calls to [store] by kind and result, because the number of calls is limited. Also remembers whether the
 * last call was answered.
 */
internal class ObservedStore(private val store: Store, registry: MetricRegistry) : Store {
    private val lastCallAnswered = AtomicBoolean()
    private val calls =
        registry.counter { name("boragering_store_calls").help("calls to the store").labelNames("kind", "result") }

    /** Whether the last completed call was answered; `false` before the first call. */
    val reachable: Boolean get() = lastCallAnswered.get()

    override suspend fun get(key: String): Either<StoreFailure, StoredValue?> = store.get(key).recordCall("read")

    override suspend fun getIfNewer(key: String, revision: StoreRevision): Either<StoreFailure, StoredValue?> =
        store.getIfNewer(key, revision).recordCall("read")

    override suspend fun range(prefix: String): Either<StoreFailure, PersistentList<StoredValue>> =
        store.range(prefix).recordCall("range")

    override suspend fun compareAndSwap(
        key: String,
        expected: StoreRevision,
        value: String,
        lease: LeaseId?,
    ): Either<StoreFailure, SwapOutcome> = store.compareAndSwap(key, expected, value, lease).recordCall("write")

    override suspend fun compareAndDelete(key: String, expected: StoreRevision): Either<StoreFailure, SwapOutcome> =
        store.compareAndDelete(key, expected).recordCall("write")

    override suspend fun grantLease(timeToLive: Duration): Either<StoreFailure, LeaseId> =
        store.grantLease(timeToLive).recordCall("lease")

    override suspend fun renewLease(lease: LeaseId): Either<StoreFailure, Duration> =
        store.renewLease(lease).recordCall("lease")

    override suspend fun revokeLease(lease: LeaseId): Either<StoreFailure, Unit> =
        store.revokeLease(lease).recordCall("lease")

    override suspend fun awaitChange(
        prefix: String,
        after: StoreRevision,
        timeout: Duration,
    ): Either<StoreFailure, PersistentList<StoredValue>> = store.awaitChange(prefix, after, timeout).recordCall("watch")

    private fun <A> Either<StoreFailure, A>.recordCall(kind: String): Either<StoreFailure, A> {
        lastCallAnswered.set(isRight())
        calls.labelValues(kind, fold({ it::class.simpleName.orEmpty().lowercase() }, { "answered" })).inc()
        return this
    }
}
