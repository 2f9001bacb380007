package boragering.fleet

import boragering.core.DecayingSum
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What a gateway knows of the demand for the capacity of one service and model, and of its use. Times are of the
 * monotonic clock. Not thread-safe.
 */
class CapacityDemand(random: Random) {
    private val returnTimes = ReturnTimes(random)
    private val sends = DecayingSum(RATE_MEMORY)

    /** What each organisation has had. */
    val shares = OrganisationShares()

    /** The occupancy up to which requests fill targets. */
    val headroom = UrgencyHeadroom()

    /** The occupancy up to which a request with [admission] fills targets at [now]. */
    fun occupancyLimit(admission: AdmissionRequest, now: Duration): Double =
        headroom.limit(rank(admission, now), now)

    /** Records the [result] of an attempt to send a request with [admission] at [now]. */
    internal fun recordResult(result: SendResult, admission: AdmissionRequest, now: Duration) = when (result) {
        SendResult.SENT -> {
            sends.add(now)
            shares.recordServed(admission.organisation, now)
        }
        SendResult.FULL -> recordShortage(admission, now)
        SendResult.ENDED -> Unit
    }

    /** Records that a request with [admission] got no capacity at [now]. */
    internal fun recordShortage(admission: AdmissionRequest, now: Duration) {
        if (admission.caller !is CallerAttempt.Premature) headroom.recordShortage(rank(admission, now), now)
    }

    /** Time that a request waits with [position] others ahead of it. */
    internal fun expectedWait(position: Int, now: Duration): Duration =
        1.seconds * (position / sends.perSecond(now).coerceAtLeast(LOWEST_RATE))

    /** The rejection at [now] of a request with [admission] and [position] others ahead of it. */
    internal fun rejection(reason: RejectionReason, admission: AdmissionRequest, position: Int, now: Duration) =
        expectedWait(position, now).let { expected ->
            val retryAfter = returnTimes.next(admission, expected, sends.perSecond(now), now)
            AdmissionRejection(reason, position, expected, retryAfter)
        }

    private fun rank(admission: AdmissionRequest, now: Duration): Int {
        val last = admission.caller is CallerAttempt.Premature || shares.exceeded(admission.organisation, now)
        return admission.urgency * RANKS_PER_URGENCY + if (last) 1 else 0
    }

    private companion object {
        const val RANKS_PER_URGENCY = 2
        val RATE_MEMORY = 1.seconds

        /** Rate by which waits are estimated at a gateway that has recently found no free capacity. */
        const val LOWEST_RATE = 0.1
    }
}
