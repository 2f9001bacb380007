package boragering.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Determines the interval at which a gateway reads changes from the store. Each call has the same cost however few
 * changes there are, and instances change all the time, so that with a fixed interval the load on the store would grow
 * with the number of gateways.
 */
object ReadInterval {
    /** Total calls per second of all gateways, above which each gateway reads less often. */
    private const val MAX_CALLS_PER_SECOND = 80

    /** Shortest interval; a gateway does not need to know a change sooner. */
    private val MIN_INTERVAL = 350.milliseconds

    /** Interval of the planner, which reads more often because it acts on the list of instances. */
    private val PLANNER_INTERVAL = 200.milliseconds

    /** Longest interval; a leaving instance or a new configuration has to be known to all gateways within 2 s. */
    private val MAX_INTERVAL = 1.seconds

    /**
     * The interval between the calls of one gateway. [gateways] is the number of gateways, [planning] tells whether
     * this one is the planner, and [reader] whether it relays changes to others.
     */
    fun of(gateways: Int, planning: Boolean, reader: Boolean): Duration = when {
        planning -> PLANNER_INTERVAL
        reader -> MIN_INTERVAL
        else -> (1.seconds / MAX_CALLS_PER_SECOND * gateways).coerceIn(MIN_INTERVAL, MAX_INTERVAL)
    }
}
