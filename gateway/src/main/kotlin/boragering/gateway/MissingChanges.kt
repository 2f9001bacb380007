package boragering.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides when all documents are read because the store has left out changes. They are missing until a read has
 * succeeded, or the changes have been received after all. Times are those of the monotonic clock. Used on the event
 * loop only.
 */
internal class MissingChanges {
    private var missingSince: Duration? = null
    private var readAt: Duration? = null

    /** Records at [now] whether changes are [missing]. Returns for how long they were if that has ended. */
    fun update(missing: Boolean, now: Duration): Duration? {
        val since = missingSince
        missingSince = if (missing) since ?: now else null
        return if (missing) null else since?.let { now - it }
    }

    /** Whether all documents have to be read at [now]. */
    fun readDue(now: Duration): Boolean = missingSince != null && readAt.let { it == null || now - it >= MIN_INTERVAL }

    /** Records that a read has ended at [now], so that a read that takes long does not delay all other calls. */
    fun onReadEnd(now: Duration) {
        readAt = now
    }

    /** Limits the time [wait] for which a call may wait for changes, since that would delay a read. */
    fun limit(wait: Duration): Duration = if (missingSince == null) wait else minOf(wait, MIN_INTERVAL)

    private companion object {
        /**
         * Limits the reads of a store that skips revisions for good. Other gateways rely on a reader only while its
         * documents were confirmed more recently than [DocumentFollower.MAX_READER_AGE].
         */
        val MIN_INTERVAL = 600.milliseconds
    }
}
