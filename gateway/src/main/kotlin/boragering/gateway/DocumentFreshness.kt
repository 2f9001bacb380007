package boragering.gateway

import boragering.core.Clock
import boragering.core.StoreRevision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Records when the store answered this gateway, or the reader from which it reads, and when the documents were last
 * confirmed to be complete. Used on the event loop only.
 *
 * @param now the time of the monotonic clock.
 * @param clock detects suspensions of the host.
 */
class DocumentFreshness internal constructor(
    private val now: () -> Duration,
    clock: Clock,
    private val log: DecisionLog,
) {
    private val suspensionDetector = SuspensionDetector(clock)
    private val availability = StoreAvailability()
    private var answeredAt: Duration? = null
    private var lostReason = ""

    /** The time up to which the documents are known to lack no change; `null` if it was never known. */
    internal var confirmedAt: Duration? = null
        private set

    /** Whether the last call to the store failed. */
    internal val storeLost: Boolean get() = availability.lostAt != null

    /** Whether the store recently answered this gateway or the reader from which it reads. */
    val recentlyAnswered: Boolean get() = answeredAt.let { it != null && now() - it < RECENT_ANSWER_TIME }

    /** Whether the store answers this gateway, as far as it knows. */
    val storeReachable: Boolean get() = recentlyAnswered && !storeLost

    /** Time since the documents were last confirmed to be complete; `null` if it is not known. */
    val staleness: Duration?
        get() = confirmedAt
            ?.takeIf { !storeLost && !suspensionDetector.suspended() }
            ?.let { now() - it }

    /** Whether the store is unreachable, or first answered or became reachable again only a short time ago. */
    val recovering: Boolean
        get() {
            val recovery = if (availability.answeredBefore) OUTAGE_RECOVERY_TIME else RECOVERY_TIME
            return storeLost || availability.regainedAt.let { it != null && now() - it < recovery }
        }

    /** Whether the store has answered every call since the start of this process. */
    val noOutageSinceStart: Boolean
        get() = availability.answeredAtOnce && !availability.answeredBefore && !storeLost

    /**
     * The time until which an entry that was removed at [revision], as is learned now, may be written again; `null` if
     * the removal shows that its instance has ended.
     */
    fun entryReturnDeadline(revision: StoreRevision): Duration? = availability.entryReturnDeadline(revision, now())

    /**
     * The time until which a document without a lease may be written again whose removal at [revision] is learned now;
     * `null` if it was removed, rather than missing in a backup from which the store was restored.
     */
    fun documentReturnDeadline(revision: StoreRevision): Duration? =
        availability.documentReturnDeadline(revision, now())

    internal fun onReachableElsewhere() = availability.onReachableElsewhere(now())

    internal fun onRestored(revision: StoreRevision) = availability.onRestored(now(), revision)

    /**
     * Records that the documents, with the changes just received up to [revision], include every change made before
     * [confirmed], as the store answered at [storeAnsweredAt], to this gateway or to the reader.
     */
    internal fun onConfirmed(
        confirmed: Duration,
        revision: StoreRevision,
        storeAnsweredAt: Duration = now(),
    ) {
        if (suspensionDetector.suspended()) suspensionDetector.reset()
        confirmedAt = maxOf(confirmed, confirmedAt ?: confirmed)
        onAnswered(revision, storeAnsweredAt, complete = true)
    }

    /** Records that the store answered with its state at [revision], and left out changes before that. */
    internal fun onIncomplete(revision: StoreRevision) = onAnswered(revision, now(), complete = false)

    /** Records that [call] failed for [reason] while this gateway's documents were those of [revision]. */
    internal fun onLost(call: UnansweredCall, reason: String, revision: StoreRevision) {
        if (availability.onLost(now(), call)) {
            log.event("store-lost", "reason" to reason, "revision" to revision)
        } else if (reason != lostReason) {
            log.event("store-still-lost", "reason" to reason, "revision" to revision)
        }
        lostReason = reason
    }

    private fun onAnswered(revision: StoreRevision, storeAnsweredAt: Duration, complete: Boolean) {
        answeredAt = now()
        val outage = availability.onAnswered(now(), revision, storeAnsweredAt, complete) ?: return
        log.event("store-regained", "after" to outage, "revision" to revision)
    }

    private companion object {
        val RECENT_ANSWER_TIME = 3.seconds

        /** Time within which the planner learns after an outage that the store is reachable again. */
        val OUTAGE_RECOVERY_TIME = 1_800.milliseconds

        /** Time within which entries that expired while the store was unreachable are written again. */
        val RECOVERY_TIME = 2_500.milliseconds
    }
}
