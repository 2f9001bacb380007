package boragering.gateway

import boragering.core.StoreRevision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A call to the store, made at [sentAt], that failed; the store may let it wait for [wait] before it answers. */
internal class UnansweredCall(val sentAt: Duration, val wait: Duration = Duration.ZERO)

/**
 * Tracks when the store answered this gateway, and whether it answered others in the meantime. Entries of live
 * instances expire only if the store was unreachable for all of them for some time. A removal that the first answer
 * after such an outage reports therefore does not prove that the instance has ended; a later one does. Times are those
 * of the monotonic clock.
 */
internal class StoreAvailability {
    private var answeredAt: Duration? = null
    private var outageSince = Duration.ZERO
    private var reachableElsewhereAt: Duration? = null
    private var recovery: Recovery? = null

    /** When the store stopped answering; `null` while it answers. */
    var lostAt: Duration? = null
        private set

    /** Whether the store answered before the last outage, so that the documents of that time are known. */
    var answeredBefore = false
        private set

    /** Whether the store answered the first call after the start, so that no outage is known. */
    var answeredAtOnce = false
        private set

    /** When the store first answered, or answered again after the last outage. */
    var regainedAt: Duration? = null
        private set

    /** Records at [now] that the store did not answer [call]. Returns whether an outage begins. */
    fun onLost(now: Duration, call: UnansweredCall): Boolean {
        if (lostAt != null) return false
        outageSince = earliestStart(call, now)
        lostAt = now
        reachableElsewhereAt = null
        return true
    }

    /** Records the report of another gateway at [now] that the store answers it. */
    fun onReachableElsewhere(now: Duration) {
        if (lostAt != null && reachableElsewhereAt == null) reachableElsewhereAt = now
    }

    /**
     * Records at [now] that the store answered at [answeredAt] with its state at [revision], and whether it reported
     * all changes up to that. Returns the duration of the outage that this ends, or `null`. The first complete answer
     * after an outage tells which removals belong to it.
     */
    fun onAnswered(
        now: Duration,
        revision: StoreRevision,
        answeredAt: Duration = now,
        complete: Boolean = true,
    ): Duration? {
        this.answeredAt = answeredAt
        val since = lostAt
        if (since != null && regainedAt != null) answeredBefore = true
        if (since == null && regainedAt == null) answeredAtOnce = true
        if (since != null || regainedAt == null) regainedAt = now
        recovery = when {
            since != null && entriesMayExpire(now) -> Recovery(now, revision, complete)
            complete -> recovery?.completedBy(revision)
            else -> recovery
        }
        lostAt = null
        return since?.let { now - it }
    }

    /**
     * Records that the store was restored from a backup before it answered at [now] with its state at [revision].
     * Entries that the backup lacked are missing in that state.
     */
    fun onRestored(now: Duration, revision: StoreRevision) {
        recovery = Recovery(now, revision, complete = true, restored = true)
        regainedAt = now
        answeredBefore = true
    }

    /**
     * The time until which an entry may be written again whose removal at [revision] becomes known at [now]; `null` if
     * the removal shows that the instance has ended.
     */
    fun entryReturnDeadline(revision: StoreRevision, now: Duration): Duration? {
        val returnedAt = recovery?.takeIf { revision <= it.revision }?.at
            // Another gateway passes on what it read when the store answered it again.
            ?: (reachableElsewhereAt ?: now).takeIf { lostAt != null && entriesMayExpire(now) }
        return returnedAt?.plus(ENTRY_RETURN_TIME)?.takeIf { it > now }
    }

    /**
     * The time until which a document without a lease may be written again whose removal at [revision] becomes known at
     * [now]: such a document is missing without having been removed only in a store that was restored from a backup.
     * `null` if it was removed.
     */
    fun documentReturnDeadline(revision: StoreRevision, now: Duration): Duration? =
        recovery?.takeIf { it.restored && revision <= it.revision }?.at?.plus(ENTRY_RETURN_TIME)?.takeIf { it > now }

    /**
     * The earliest time at which an outage may have begun in which [call] failed at [now]. The store may have been away
     * since its last answer, unless it accepted the call and kept it waiting, as it does while nothing changes.
     */
    private fun earliestStart(call: UnansweredCall, now: Duration): Duration {
        val accepted = now - call.sentAt in MAX_REFUSAL_TIME..<call.wait
        return if (accepted) now else answeredAt ?: call.sentAt
    }

    /** Whether entries may have expired because of the outage that lasts until [now]. */
    private fun entriesMayExpire(now: Duration): Boolean =
        now - outageSince >= MIN_EXPIRY_OUTAGE && !reachedByOthers(now)

    /** Whether the store answered others during the outage; others may only have noticed the end of it earlier. */
    private fun reachedByOthers(now: Duration): Boolean =
        reachableElsewhereAt.let { it != null && now - it > MAX_NOTICE_DELAY }

    /** The first answer after a loss of entries in the store, with its state at [revision]. */
    private class Recovery(
        val at: Duration,
        val revision: StoreRevision,
        val complete: Boolean,
        val restored: Boolean = false,
    ) {
        fun completedBy(later: StoreRevision): Recovery = if (complete) this else Recovery(at, later, complete = true)
    }

    private companion object {
        /** No entry expires in a shorter outage: that takes three heartbeats, the first of them before the outage. */
        val MIN_EXPIRY_OUTAGE = 2_400.milliseconds
        val MAX_NOTICE_DELAY = 1_500.milliseconds

        /** Time within which a store that is away refuses a call, unless it is silent. */
        val MAX_REFUSAL_TIME = 100.milliseconds

        /** Time within which instances write entries again that expired in an outage. */
        val ENTRY_RETURN_TIME = 2_300.milliseconds
    }
}
