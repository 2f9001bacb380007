package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The fraction of a gateway's requests for one service and model that may leave the availability zone.
 *
 * The fraction rises while a request would save more than a tolerance by leaving, falls while it would save nothing,
 * and stays between. Gateways learn of each other's requests about one request later (a second); the fraction moves
 * more slowly than that, so that gateways which react to the same load do not overshoot together. Not thread-safe.
 */
class ZoneSpillover {
    private var updatedAt: Duration? = null
    private var current = 0.0

    /** The mean occupancy of the own zone over the last half minute or so; `null` before the first update. */
    var usualOccupancy: Double? = null
        private set

    /** The fraction at [now], from 0 to 1; 0 if no request has updated it recently. */
    fun fraction(now: Duration): Double {
        val since = updatedAt ?: return 0.0
        return if (now - since < MEMORY) current else 0.0
    }

    /**
     * Adjusts the fraction at [now], by the monotonic clock.
     *
     * @param occupancy the mean occupancy of the own zone.
     * @param saved by how much sooner a request starts in another zone than in its own, the way included; negative if
     * it starts later.
     * @param tolerance what a request has to save for the traffic between zones to be worth its cost.
     */
    fun update(occupancy: Double, saved: Duration, tolerance: Duration, now: Duration) {
        val usual = usualOccupancy ?: occupancy
        val weight = ((now - (updatedAt ?: now)) / OCCUPANCY_MEMORY).coerceIn(0.0, 1.0)
        usualOccupancy = usual + (occupancy - usual) * weight
        val elapsed = (now - (updatedAt ?: now)).coerceIn(Duration.ZERO, LONGEST_STEP) / 1.seconds
        val step = when {
            saved > tolerance -> RISE_PER_SECOND * ((saved - tolerance) / tolerance).coerceAtMost(LARGEST_EXCESS)
            saved < Duration.ZERO -> -FALL_PER_SECOND * (-saved / tolerance).coerceAtMost(LARGEST_EXCESS)
            else -> 0.0
        }
        current = (fraction(now) + step * elapsed).coerceIn(0.0, 1.0)
        updatedAt = now
    }

    private companion object {
        /** Change per second for each tolerance by which a request saves more than one, or less than nothing. */
        const val RISE_PER_SECOND = 0.7
        const val FALL_PER_SECOND = 0.4

        /** Excess in tolerances above which the fraction moves no faster, as when a zone has lost most groups. */
        const val LARGEST_EXCESS = 4.0

        /** One update counts for at most this time, as a gateway with few requests sees only single loads. */
        val LONGEST_STEP = 500.milliseconds

        /** Longer than the swings of the demand, which last about 15 s. */
        val OCCUPANCY_MEMORY = 20.seconds

        /** Time after which the load that decided the fraction says nothing of the present one. */
        val MEMORY = 5.seconds
    }
}
