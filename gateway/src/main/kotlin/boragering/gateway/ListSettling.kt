package boragering.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides after a start of this process whether the list of instances is complete.
 *
 * Answers the loss of all processes at once, when callers wait for a planner and nobody knows whether the store was
 * unavailable too. If it was, each live instance lists itself again within one heartbeat. A list to which no instance
 * is added for most of that time is complete.
 */
class ListSettling {
    private var addedAt: Duration? = null

    /** Records that an instance was added to the list at [now], a time of the monotonic clock. */
    fun onAdded(now: Duration) {
        addedAt = now
    }

    /** Whether no instance has been added to the list for some time before [now]. */
    fun settled(now: Duration): Boolean = addedAt.let { it != null && now - it >= SETTLING_TIME }

    private companion object {
        /** Most of the interval at which instances write their entries. */
        val SETTLING_TIME = 900.milliseconds
    }
}
