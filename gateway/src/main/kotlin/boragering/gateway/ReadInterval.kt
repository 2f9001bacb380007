package boragering.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides how often a gateway reads changes of the store. Each call costs the same however little has changed, and
 * instances change all the time, so that with a fixed interval the calls would grow with the number of gateways.
 */
object ReadInterval {
    /** Calls of all gateways together in a second, from which on each calls less often. */
    private const val MAX_CALLS_PER_SECOND = 80

    /** A gateway need not know a change sooner. */
    private val MIN_INTERVAL = 350.milliseconds

    /** The planner acts on the list of instances and reads it more often. */
    private val PLANNER_INTERVAL = 200.milliseconds

    /** Leaves most of the 2 s in which a leaving instance or a configuration has to be known. */
    private val MAX_INTERVAL = 1.seconds

    /**
     * The time between the calls of a gateway that is one of [gateways] and that plans, or does not; a [reader] reads
     * for others as well.
     */
    fun of(gateways: Int, planning: Boolean, reader: Boolean): Duration = when {
        planning -> PLANNER_INTERVAL
        reader -> MIN_INTERVAL
        else -> (1.seconds / MAX_CALLS_PER_SECOND * gateways).coerceIn(MIN_INTERVAL, MAX_INTERVAL)
    }
}
