package boragering.core.timeline

import boragering.core.Clock
import boragering.core.DaemonId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * The hybrid logical clock of one daemon. Its timestamps increase strictly, even when the wall clock jumps back, and
 * are higher than all timestamps that it has merged. Safe for use by several threads.
 */
class HybridClock(private val daemon: DaemonId, private val clock: Clock) {
    private var milliseconds = 0L
    private var counter = 0
    private var ignoredStamps = 0L

    /** Number of received timestamps that [merge] has ignored. */
    val ignoredCount: Long get() = synchronized(this) { ignoredStamps }

    /** Issues a timestamp that is higher than all earlier ones. */
    fun issue(): HybridTime = synchronized(this) {
        advanceTo(clock.wallMilliseconds(), 0)
        HybridTime(milliseconds, counter, daemon).also { advanceTo(milliseconds, counter + 1) }
    }

    /**
     * Makes all later timestamps higher than [received], which a peer has sent. A timestamp more than
     * [MAXIMUM_CLOCK_LEAD] ahead of this daemon's wall clock is ignored, so that one wrong clock cannot move the clocks
     * of all daemons into the future. Events of such a peer may then sort after their effects until its clock is
     * corrected. Returns whether the timestamp was merged.
     */
    fun merge(received: HybridTime): Boolean = synchronized(this) {
        val valid = received.milliseconds <= clock.wallMilliseconds() + MAXIMUM_CLOCK_LEAD.inWholeMilliseconds
        if (valid) {
            advanceTo(received.milliseconds, received.counter.coerceIn(0, MAXIMUM_COUNTER) + 1)
        } else {
            ignoredStamps++
        }
        valid
    }

    /**
     * Advances to the given time if it is higher; a counter above [MAXIMUM_COUNTER] carries into the next millisecond.
     */
    private fun advanceTo(toMilliseconds: Long, toCounter: Int) {
        val carried = if (toCounter > MAXIMUM_COUNTER) toMilliseconds + 1 to 0 else toMilliseconds to toCounter
        if (compareValuesBy(carried, milliseconds to counter, { it.first }, { it.second }) > 0) {
            milliseconds = carried.first
            counter = carried.second
        }
    }

    companion object {
        /** How far a merged timestamp may be ahead of the wall clock; synchronised clocks differ by far less. */
        val MAXIMUM_CLOCK_LEAD: Duration = 1.minutes

        /** The highest counter of a timestamp. */
        const val MAXIMUM_COUNTER = 65_535
    }
}
