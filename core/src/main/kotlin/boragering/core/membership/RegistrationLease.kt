package boragering.core.membership

import arrow.core.Either
import arrow.core.getOrElse
import boragering.core.LeaseId
import boragering.core.Store
import boragering.core.StoreRevision
import boragering.core.SwapOutcome
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.json.Json
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps this daemon's registration in the store with a lease. The lease is used only to list daemons; whether it is
 * held proves nothing about what this daemon does.
 */
internal class RegistrationLease(
    private val self: Registration,
    private val store: Store,
    private val random: Random,
    private val wakeSignal: WakeSignal,
) {
    private val mutex = Mutex()
    private var lease: LeaseId? = null
    private var ended = false

    /** Keeps the registration in the store until cancelled. */
    suspend fun run() {
        var failures = 0
        while (true) {
            val kept = mutex.withLock { ended || renewOrRegister() }
            failures = if (kept) 0 else failures + 1
            wakeSignal.await(random.jittered(if (kept) RENEWAL_INTERVAL else backoff(failures)))
        }
    }

    /** Writes the registration again, after it was found missing. */
    suspend fun registerAgain() {
        mutex.withLock { lease = null }
        wakeSignal.signal()
    }

    /** Removes the registration by revoking the lease, and stops renewing it. */
    suspend fun revoke() = mutex.withLock {
        ended = true
        lease?.let { store.revokeLease(it) }
        lease = null
    }

    private suspend fun renewOrRegister(): Boolean {
        val remaining = lease?.let { held -> store.renewLease(held) } ?: Either.Right(Duration.ZERO)
        return remaining.fold({ false }) { it > Duration.ZERO || register() }
    }

    private suspend fun register(): Boolean {
        lease = null
        val granted = store.grantLease(TIME_TO_LIVE).getOrElse { null } ?: return false
        val written = write(granted, StoreRevision.NONE)
        val conflict = (written as? SwapOutcome.Conflict)?.current
        // A write whose response was lost can have left the key with a lease that no daemon renews.
        val outcome = if (conflict == null) written else write(granted, conflict.revision)
        if (outcome is SwapOutcome.Swapped) lease = granted
        return lease != null
    }

    private suspend fun write(granted: LeaseId, expected: StoreRevision): SwapOutcome? =
        store.compareAndSwap(Registration.key(self.daemon), expected, Json.encodeToString(self), granted)
            .getOrElse { null }

    private fun backoff(failures: Int): Duration =
        minOf(INITIAL_BACKOFF * (1 shl minOf(failures - 1, MAXIMUM_DOUBLINGS)), MAXIMUM_BACKOFF)

    private companion object {
        val TIME_TO_LIVE = 10.seconds

        /** Leaves time for a second attempt before the lease expires; 430 daemons make 108 renewals per second. */
        val RENEWAL_INTERVAL = 4.seconds
        val INITIAL_BACKOFF = 500.milliseconds
        val MAXIMUM_BACKOFF = 10.seconds
        const val MAXIMUM_DOUBLINGS = 5
    }
}
