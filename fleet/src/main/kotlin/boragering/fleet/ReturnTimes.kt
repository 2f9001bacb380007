package boragering.fleet

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides when rejected callers should come back. Callers of one urgency are spaced by the rate at which the gateway
 * finds free capacity, so that they do not return together to the same shortage. Not thread-safe.
 */
class ReturnTimes(private val random: Random) {
    private val nextReturns = RecentMap<Int, Duration>(MAX_URGENCIES)

    /**
     * Time after [now] at which the caller of [request] should come back, if capacity for one request is expected after
     * [expectedWait] and for [perSecond] requests per second from then on.
     */
    fun next(request: AdmissionRequest, expectedWait: Duration, perSecond: Double, now: Duration): Duration {
        val latest = (request.deadline - now).coerceAtLeast(Duration.ZERO) / PART_OF_TIME_LEFT
        val spacing = (1.seconds / perSecond.coerceAtLeast(LOWEST_RATE)) * RETURNS_PER_FREE_CAPACITY
        val elapsed = now - request.arrivedAt + request.caller.elapsed
        val earliest = maxOf(EARLIEST, earliestReturn(request.targetLatency, request.deadline - now) - elapsed)
        val soonest = now + maxOf(earliest, minOf(expectedWait, latest))
        val free = maxOf(nextReturns[request.urgency] ?: soonest, soonest)
        val overdue = free - now > latest
        val at = if (overdue) now + latest * (1 - random.nextDouble() * SPREAD) else free
        if (!overdue) nextReturns[request.urgency] = free + spacing
        return minOf(maxOf(at - now, earliest) + JITTER * random.nextDouble(), latest)
    }

    /** Limits of the times. */
    companion object {
        /** The shortest time that any gateway tells a caller, unless that has less than three times as much left. */
        private val EARLIEST = 300.milliseconds

        /**
         * Time from its first attempt before which no gateway lets a caller come back that has [timeLeft]. It allows
         * for the time that the first attempt can have waited, because a gateway cannot tell a caller that has waited
         * and then repeats at once from one that was rejected at once and comes back as told.
         */
        fun earliestReturn(targetLatency: Duration, timeLeft: Duration): Duration =
            minOf(EARLIEST + longestWait(targetLatency), timeLeft / PART_OF_TIME_LEFT)

        /** Longest time that a first attempt waits for capacity before it is rejected. */
        fun longestWait(targetLatency: Duration): Duration = targetLatency * AdmissionRequest.WAIT_FRACTION

        private val JITTER = 100.milliseconds
        private const val PART_OF_TIME_LEFT = 3

        /** Fraction of the longest time over which callers are spread for which there is no free time before it. */
        private const val SPREAD = 0.5

        /** Returning callers share the capacity with new ones, which are expected to take half of it. */
        private const val RETURNS_PER_FREE_CAPACITY = 2.0
        private const val LOWEST_RATE = 0.5
        private const val MAX_URGENCIES = 16
    }
}
