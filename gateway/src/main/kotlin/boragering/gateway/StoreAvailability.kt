package boragering.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * When the store answered this gateway, and whether it answered others meanwhile. Entries of living instances expire
 * only if the store was away for all of them for a while; a removal that follows is not to be taken as an end at once.
 * Pure; times are those of the monotonic clock.
 */
internal class StoreAvailability {
    private var reachableElsewhereAt: Duration? = null
    private var expiryOutageEndedAt: Duration? = null

    /** Since when the store does not answer; `null` while it does. */
    var lostAt: Duration? = null
        private set

    /** Whether it answered before the last loss, so that what it held then is known. */
    var answeredBefore = false
        private set

    /** When it answered first, or again after a loss. */
    var regainedAt: Duration? = null
        private set

    /** The store does not answer at [now]; whether that is new. */
    fun onLost(now: Duration): Boolean {
        if (lostAt != null) return false
        lostAt = now
        reachableElsewhereAt = null
        return true
    }

    /** Another gateway said at [now] that the store answers it. */
    fun onReachableElsewhere(now: Duration) {
        if (lostAt != null && reachableElsewhereAt == null) reachableElsewhereAt = now
    }

    /** The store answers at [now]; for how long it did not, `null` if it did before. */
    fun onAnswered(now: Duration): Duration? {
        val since = lostAt
        if (since != null && regainedAt != null) answeredBefore = true
        if (since != null || regainedAt == null) regainedAt = now
        if (since != null && now - since >= MIN_EXPIRY_OUTAGE && !reachedByOthers(now)) expiryOutageEndedAt = now
        lostAt = null
        return since?.let { now - it }
    }

    /** Whether entries that disappear at [now] may have expired while the store was away. */
    fun entriesMayReturn(now: Duration): Boolean =
        expiryOutageEndedAt.let { it != null && now - it < ENTRY_RETURN_TIME }

    /** Another gateway may notice the store's return somewhat before this one. */
    private fun reachedByOthers(now: Duration): Boolean =
        reachableElsewhereAt.let { it != null && now - it > MAX_NOTICE_DELAY }

    private companion object {
        /** No entry expires in a shorter absence. */
        val MIN_EXPIRY_OUTAGE = 2.seconds
        val MAX_NOTICE_DELAY = 1_500.milliseconds
        val ENTRY_RETURN_TIME = 2_500.milliseconds
    }
}
