package boragering.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import boragering.core.LeaseId
import boragering.core.Store
import boragering.core.StoreFailure
import boragering.core.StoreRevision
import boragering.core.StoredValue
import boragering.core.SwapOutcome
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A fake store for the planner's lock; [failing] makes every call fail, [leaseExpired] every renewal find no lease. */
internal class FakeLockStore : Store {
    var failing = false
    var leaseExpired = false
    var revision = 0L
    var era = 0L

    /** The lock's document as a backup contained it; `null` if there is none. */
    var lock: StoredValue? = null

    /** Restores the state at [backup], in which [lock] was the lock's document. */
    fun restore(backup: Long, lock: StoredValue? = null) {
        revision = backup
        era += 1
        this.lock = lock
    }

    private fun <T> answer(value: T): Either<StoreFailure, T> =
        if (failing) StoreFailure.Uncertain("down").left() else value.right()

    override suspend fun get(key: String) = answer<StoredValue?>(null)

    override suspend fun getIfNewer(key: String, revision: StoreRevision) = answer<StoredValue?>(null)

    override suspend fun range(prefix: String) = answer<PersistentList<StoredValue>>(persistentListOf())

    override suspend fun compareAndSwap(key: String, expected: StoreRevision, value: String, lease: LeaseId?) =
        answer(if (expected == (lock?.revision ?: StoreRevision.NONE)) swapped() else SwapOutcome.Conflict(lock))

    private fun swapped(): SwapOutcome = SwapOutcome.Swapped(StoreRevision(++revision, era)).also { lock = null }

    override suspend fun compareAndDelete(key: String, expected: StoreRevision) =
        answer<SwapOutcome>(SwapOutcome.Swapped(StoreRevision(++revision)))

    override suspend fun grantLease(timeToLive: Duration) = answer(LeaseId(1, era))

    override suspend fun renewLease(lease: LeaseId) = answer(if (leaseExpired) Duration.ZERO else 2.seconds)

    override suspend fun revokeLease(lease: LeaseId) = answer(Unit)

    override suspend fun awaitChange(prefix: String, after: StoreRevision, timeout: Duration) =
        answer<PersistentList<StoredValue>>(persistentListOf())
}
