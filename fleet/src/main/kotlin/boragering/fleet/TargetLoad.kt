package boragering.fleet

import kotlin.time.Duration

/**
 * A gateway's view of the load of one target.
 *
 * @property ownInFlight requests of this gateway in progress at the target.
 * @property awaitingSince when the oldest of these requests that has no event or answer yet was sent, by the monotonic
 * clock; `null` if there is none.
 * @property report the last load report of the target.
 * @property suspectUntil until when the target counts as failed, by the monotonic clock.
 * @property identityMismatchUntil until when the target counts as ended, by the monotonic clock, because it answered
 * that it is not the intended target.
 * @property rateLimited whether the target takes no further request of this gateway now, by its stated rate.
 */
data class TargetLoad(
    val ownInFlight: Int = 0,
    val awaitingSince: Duration? = null,
    val report: LoadReport? = null,
    val suspectUntil: Duration? = null,
    val identityMismatchUntil: Duration? = null,
    val rateLimited: Boolean = false,
) {
    /** Whether the target counts as failed or ended at [now]. */
    fun suspected(now: Duration): Boolean =
        suspectUntil != null && now < suspectUntil || identityMismatchUntil != null && now < identityMismatchUntil
}

/**
 * The running and waiting requests that a target reported [at] a time of the monotonic clock.
 *
 * @property ownInFlight requests of this gateway that were in progress at the target when the report arrived.
 */
data class LoadReport(val running: Int, val waiting: Int, val ownInFlight: Int, val at: Duration) {
    /** Requests of other gateways that the report counts. */
    val others: Int get() = (running + waiting - ownInFlight).coerceAtLeast(0)
}

/** A target that may be chosen, its load, and its pace, which is `null` if it is not known. */
data class Candidate(val target: Target, val load: TargetLoad, val pace: PaceEstimate? = null)
