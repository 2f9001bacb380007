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

/**
 * A distributed lock that makes one gateway the planner. The lock is a document with a lease; the document's revision
 * is the planner's fencing token, which increases with each planner. Used on the event loop only.
 */
internal class PlannerLock(
    private val store: Store,
    private val self: DaemonId,
    private val clock: Clock,
    private val storeIsDown: () -> Boolean,
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
        get() = fence != null && !suspensionDetector.suspended() && (clock.monotonic() < validUntil || storeIsDown())

    /** Acquires the lock if no gateway holds it. Returns whether this gateway then holds it. */
    suspend fun acquire(): Boolean {
        val start = clock.monotonic()
        val granted = store.grantLease(TIME_TO_LIVE).getOrElse { return false }
        val outcome = store.compareAndSwap(KEY, StoreRevision.NONE, self.value, granted).getOrElse { null }
        if (outcome is SwapOutcome.Swapped) {
            lease = granted
            fence = outcome.revision.value
            extend(start)
        } else {
            store.revokeLease(granted)
        }
        return held
    }

    /** Renews the lease of the lock when that is due, or gives the lock up if the lease has expired. */
    suspend fun renew() {
        val current = lease ?: return
        val start = clock.monotonic()
        val uncertain = suspensionDetector.suspended()
        if (start - renewedAt < RENEWAL_INTERVAL && !uncertain) return
        store.renewLease(current).fold(
            { Unit },
            { remaining -> if (remaining > Duration.ZERO) extend(start) else forget() },
        )
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
