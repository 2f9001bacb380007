package boragering.gateway

import arrow.core.getOrElse
import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.LeaseId
import boragering.core.Store
import boragering.core.StoreRevision
import boragering.core.SwapOutcome
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The state of the store on which a [PlannerLock] depends. */
interface PlannerLockView {
    /** Whether the store answers no gateway. */
    val storeIsDown: Boolean

    /** How often the store has been restored from a backup, as far as this gateway knows. */
    val storeEra: Long
}

/**
 * A distributed lock that makes one gateway the planner. The lock is a document with a lease; the planner's fencing
 * token is derived from the position of that document in the store's history, and increases with each planner. A lock
 * that was acquired before the store was restored from a backup has ended. Used on the event loop only.
 */
internal class PlannerLock(
    private val store: Store,
    private val self: DaemonId,
    private val clock: Clock,
    private val view: PlannerLockView,
) {
    private var lease: LeaseId? = null
    private var validUntil = Duration.ZERO
    private var renewedAt = Duration.ZERO
    private val suspensionDetector = SuspensionDetector(clock)

    /** The fencing token; `null` while this gateway is not the planner. */
    var fence: Long? = null
        private set

    /**
     * Whether this gateway certainly is the planner now. After a suspension of the process this is not certain until
     * the lease is renewed. While the store answers no gateway, no other gateway can have acquired the lock, even if
     * the lease has expired.
     */
    val held: Boolean
        get() = fence != null && !uncertain && (clock.monotonic() < validUntil || view.storeIsDown)

    private val uncertain: Boolean get() = suspensionDetector.suspended() || restoredSinceGrant

    private val restoredSinceGrant: Boolean get() = lease.let { it != null && it.era < view.storeEra }

    /** Acquires the lock if no gateway holds it. Returns whether this gateway then holds it. */
    suspend fun acquire(): Boolean {
        val start = clock.monotonic()
        val granted = store.grantLease(TIME_TO_LIVE).getOrElse { return false }
        val outcome = write(granted)
        if (outcome is SwapOutcome.Swapped) {
            lease = granted
            fence = outcome.revision.fencingToken
            extend(start)
        } else {
            store.revokeLease(granted)
        }
        return held
    }

    /** Renews the lease of the lock when that is due, or gives the lock up if the lease has ended. */
    suspend fun renew() {
        val current = lease ?: return
        val start = clock.monotonic()
        when {
            restoredSinceGrant -> forget()
            start - renewedAt >= RENEWAL_INTERVAL || uncertain -> store.renewLease(current).fold(
                { Unit },
                { remaining -> if (remaining > Duration.ZERO) extend(start) else forget() },
            )
        }
    }

    /** Releases the lock and revokes its lease, so that another gateway can acquire the lock at once. */
    suspend fun release() {
        val current = lease
        forget()
        current?.let { store.revokeLease(it) }
    }

    /** Gives the lock up locally, without a call to the store. */
    fun forget() {
        lease = null
        fence = null
    }

    /** Writes the lock, in place of one that this gateway held before the store was restored. */
    private suspend fun write(granted: LeaseId): SwapOutcome? {
        val outcome = store.compareAndSwap(KEY, StoreRevision.NONE, self.value, granted).getOrElse { null }
        val earlier = (outcome as? SwapOutcome.Conflict)?.current?.takeIf { it.value == self.value } ?: return outcome
        return store.compareAndSwap(KEY, earlier.revision, self.value, granted).getOrElse { null }
    }

    private fun extend(start: Duration) {
        renewedAt = start
        validUntil = start + TIME_TO_LIVE - EXPIRY_MARGIN
        suspensionDetector.reset()
    }

    companion object {
        /** The key of the lock. */
        const val KEY = "boragering/planner"
        private val TIME_TO_LIVE = 2_500.milliseconds
        private val EXPIRY_MARGIN = 500.milliseconds
        private val RENEWAL_INTERVAL = 700.milliseconds
    }
}
