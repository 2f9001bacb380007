package boragering.fleet

import boragering.core.OrganisationName
import kotlin.time.Duration

/**
 * What the admission of one request depends on. Times are of the monotonic clock.
 *
 * @property urgency rank of the request; 0 is the most urgent.
 * @property arrivedAt when the request arrived at this gateway.
 * @property deadline when the caller stops waiting.
 * @property caller what is known of the caller's earlier attempts.
 */
data class AdmissionRequest(
    val organisation: OrganisationName?,
    val urgency: Int,
    val targetLatency: Duration,
    val arrivedAt: Duration,
    val deadline: Duration,
    val caller: CallerAttempt = CallerAttempt.First,
) {
    /** Until when the request may wait for capacity. */
    val waitUntil: Duration
        get() {
            val onTime = targetLatency * WAIT_FRACTION - caller.elapsed
            return minOf(arrivedAt + maxOf(onTime, targetLatency * LATE_WAIT_FRACTION), deadline)
        }

    /** Whether the caller has come back early enough for an answer within the target latency of its first attempt. */
    val returnedInTime: Boolean
        get() = caller is CallerAttempt.Returned && caller.elapsed < targetLatency * RETURN_FRACTION

    /** Whether the caller has come back too late for that. */
    val returnedLate: Boolean get() = caller is CallerAttempt.Returned && !returnedInTime

    /** Fractions of the target latency. */
    companion object {
        /** Fraction of the target latency of which the rest suffices for an answer. */
        private const val RETURN_FRACTION = 0.6

        /** Fraction of the target latency that a request may wait; the rest is left for its answer. */
        internal const val WAIT_FRACTION = 0.25

        /** Fraction of the target latency that a request may wait that is unlikely to be answered on time. */
        private const val LATE_WAIT_FRACTION = 0.125
    }
}
