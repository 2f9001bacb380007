package boragering.fleet

import boragering.core.DecayingSum
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The times that the callers of one route had left, first seen at [start]. Times are of the monotonic clock. Not
 * thread-safe.
 */
internal class RouteCallers(start: Duration) {
    private val maximum = RecentMaximum(WINDOW, start)
    private var all = DecayingSum(WINDOW)
    private var atHighest = DecayingSum(WINDOW)
    private val deadlines = RecentDeadlines()

    /** Adds [timeLeft] and returns the highest recent value. */
    fun add(timeLeft: Duration, now: Duration): Duration {
        // A higher value makes those before it look like repetitions, until others have it as well.
        if (timeLeft > maximum.value + NOISE) restart()
        // Otherwise one caller that repeats every 60 ms would be four fifths of the attempts of a slow route.
        if (!deadlines.add(now + timeLeft)) count(timeLeft, now)
        return maximum.add(timeLeft, now)
    }

    private fun count(timeLeft: Duration, now: Duration) {
        all.add(now)
        if ((timeLeft - maximum.value).absoluteValue < NOISE) atHighest.add(now)
    }

    /** Whether first attempts have about the same time left, so that less of it shows an earlier attempt. */
    fun startAlike(now: Duration): Boolean {
        val count = all.value(now)
        return count >= FEWEST_CALLERS && atHighest.value(now) >= count * LOWEST_SHARE_AT_HIGHEST
    }

    private fun restart() {
        all = DecayingSum(WINDOW)
        atHighest = DecayingSum(WINDOW)
    }

    /** Limits by which the times left are compared. */
    companion object {
        /** Differences between the times that first attempts have left. */
        val NOISE = 50.milliseconds

        private val WINDOW = 10.seconds

        /** Requests below which the times left do not tell whether callers start alike. */
        private const val FEWEST_CALLERS = 3.0

        /**
         * Part of the requests that have about the highest time left where callers start alike, even if most of them
         * return several times.
         */
        private const val LOWEST_SHARE_AT_HIGHEST = 0.2
    }
}
