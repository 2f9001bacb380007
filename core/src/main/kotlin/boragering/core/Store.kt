package boragering.core

import arrow.core.Either
import kotlinx.collections.immutable.PersistentList
import kotlin.time.Duration

/**
 * Port to the platform's key-value service.
 *
 * Each call counts against the service's rate limits; a watch counts as one call while it waits. Implementations apply
 * their own timeout to each call and classify every failure as a [StoreFailure].
 */
interface Store {
    /** Reads one key; `null` when the key does not exist. */
    suspend fun get(key: String): Either<StoreFailure, StoredValue?>

    /** Reads one key if it was modified after [revision]; `null` if it was not modified or does not exist. */
    suspend fun getIfNewer(key: String, revision: StoreRevision): Either<StoreFailure, StoredValue?>

    /** Reads all keys that start with [prefix], in key order. */
    suspend fun range(prefix: String): Either<StoreFailure, PersistentList<StoredValue>>

    /**
     * Writes [value] if the key's last modification is [expected], or if the key does not exist when [expected] is
     * [StoreRevision.NONE]. With a [lease], the key is removed when that lease ends.
     */
    suspend fun compareAndSwap(
        key: String,
        expected: StoreRevision,
        value: String,
        lease: LeaseId? = null,
    ): Either<StoreFailure, SwapOutcome>

    /** Deletes the key if its last modification is [expected]. */
    suspend fun compareAndDelete(key: String, expected: StoreRevision): Either<StoreFailure, SwapOutcome>

    /** Grants a lease that ends [timeToLive] after its last renewal. */
    suspend fun grantLease(timeToLive: Duration): Either<StoreFailure, LeaseId>

    /** Renews a lease and returns its remaining time, which is zero if the lease has already ended. */
    suspend fun renewLease(lease: LeaseId): Either<StoreFailure, Duration>

    /** Ends a lease and removes its keys. */
    suspend fun revokeLease(lease: LeaseId): Either<StoreFailure, Unit>

    /**
     * Waits up to [timeout] for a key that starts with [prefix] to be modified after [after], and returns the changed
     * values. The list is empty if nothing changed before the timeout.
     */
    suspend fun awaitChange(
        prefix: String,
        after: StoreRevision,
        timeout: Duration,
    ): Either<StoreFailure, PersistentList<StoredValue>>
}

/**
 * Position in the key-value service's history; it grows with each write. A service that is restored from a backup gives
 * revision numbers out again, in a new era.
 *
 * @property value number of the revision within its [era].
 * @property era how often the service was restored, as it counts; zero if it does not tell.
 */
data class StoreRevision(val value: Long, val era: Long = 0) : Comparable<StoreRevision> {
    /**
     * Number that grows with the position, also when the service is restored from a backup that lacks fewer than
     * [MAX_LOST_REVISIONS] revisions.
     */
    val fencingToken: Long get() = era * MAX_LOST_REVISIONS + value

    override fun compareTo(other: StoreRevision): Int = compareValuesBy(this, other, { it.era }, { it.value })

    override fun toString(): String = if (era == 0L) "$value" else "$era/$value"

    companion object {
        /** The revision of a key that does not exist. */
        val NONE = StoreRevision(0)
        private const val MAX_LOST_REVISIONS = 10_000_000L
    }
}

/**
 * Identifies a lease of the key-value service. A service that is restored from a backup may give the number [value] out
 * again, in a new [era].
 */
data class LeaseId(val value: Long, val era: Long = 0)

/** A key with its value and the revision of its last modification. */
data class StoredValue(val key: String, val value: String, val revision: StoreRevision)

/** Result of a compare-and-swap or compare-and-delete that the service answered. */
sealed interface SwapOutcome {
    /** The write took effect at [revision]. */
    data class Swapped(val revision: StoreRevision) : SwapOutcome

    /** Nothing was written; [current] is the key's current value, `null` when the key does not exist. */
    data class Conflict(val current: StoredValue?) : SwapOutcome
}

/** The reason why a call to the key-value service failed. */
sealed interface StoreFailure {
    /** Explanation for logs and operators. */
    val reason: String

    /** The call is known to have changed nothing. */
    data class NotApplied(override val reason: String) : StoreFailure

    /**
     * A write may or may not have taken effect.
     *
     * @property answered whether the store answered, in a way that could not be read.
     */
    data class Uncertain(override val reason: String, val answered: Boolean = false) : StoreFailure
}
