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
 * Makes one gateway the planner. The lock is a document with a lease; its revision is the planner's fencing number,
 * which grows from planner to planner. Used on the event loop only.
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

    /** The fencing number; `null` while this gateway is not the planner. */
    var fence: Long? = null
        private set

    /**
     * Whether this gateway is certainly the planner now. A pause of the process makes it uncertain. While the store
     * answers nobody, nobody else can have taken the lock, whatever became of the lease.
     */
    val held: Boolean
        get() = fence != null && !suspensionDetector.suspended() && (clock.monotonic() < validUntil || storeIsDown())

    /** Becomes the planner if there is none. */
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

    /** Renews the lock when that is due; it is given up when its lease has ended. */
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

    /** Ends the lock, so that another gateway can take it at once. */
    suspend fun release() {
        val current = lease
        forget()
        current?.let { store.revokeLease(it) }
    }

    /** Forgets the lock without a call to the store. */
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
