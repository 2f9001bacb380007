package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The deadlines of the callers of one route that were seen last. All attempts of one caller have the same deadline,
 * except for differences in transit. Times are of the monotonic clock. Not thread-safe.
 */
internal class RecentDeadlines {
    private val callers = ArrayList<Caller>(MAX_CALLERS)

    private class Caller(val deadline: Duration) {
        var attempts = 0
    }

    /**
     * Adds an attempt of a caller with [deadline]; returns whether this caller has made several times more attempts
     * than most others. Where callers arrive so densely that their deadlines cannot be told apart, none has.
     */
    fun add(deadline: Duration): Boolean {
        val index = callers.indexOfLast { (it.deadline - deadline).absoluteValue <= TOLERANCE }
        val caller = if (index >= 0) callers.removeAt(index) else Caller(deadline)
        if (callers.size == MAX_CALLERS) callers.removeAt(0)
        callers += caller
        caller.attempts += 1
        return caller.attempts > USUAL_ATTEMPTS && exceedsMost(caller)
    }

    private fun exceedsMost(caller: Caller): Boolean {
        val exceeded = callers.count { it.attempts * USUAL_ATTEMPTS < caller.attempts }
        return exceeded * 2 > callers.size
    }

    private companion object {
        /**
         * A caller that repeats every 60 ms is not dropped before 1,000 other callers per second arrive. Beside so many
         * it makes less than a fiftieth of the attempts.
         */
        const val MAX_CALLERS = 64

        /** Differences in transit and rounding between the attempts of one caller. */
        val TOLERANCE = 5.milliseconds

        /** Attempts up to which a caller is usual, alone or relative to others. */
        const val USUAL_ATTEMPTS = 3
    }
}
