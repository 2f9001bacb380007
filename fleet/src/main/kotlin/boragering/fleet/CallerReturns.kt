package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the time that a caller has left tells of its earlier attempts. */
sealed interface CallerAttempt {
    /** Time since the caller's first attempt. */
    val elapsed: Duration

    /** The caller has not tried before. */
    data object First : CallerAttempt {
        override val elapsed: Duration get() = Duration.ZERO
    }

    /** The caller has repeated its request sooner than any gateway can have told it to. */
    data class Premature(override val elapsed: Duration) : CallerAttempt

    /** The caller may have come back when it was told to. */
    data class Returned(override val elapsed: Duration) : CallerAttempt
}

/**
 * Recognises callers that come back: they have less time left than the highest value that was recently seen on their
 * route. A gateway cannot know this otherwise, because callers return to any gateway.
 *
 * This requires that the callers of a route start with the same time left. Where they do not, few requests have about
 * the highest value, and all callers count as new ones. Not thread-safe.
 */
class CallerReturns {
    private val routes = RecentMap<String, RouteCallers>(MAX_ROUTES)

    /** Classifies a request on [route] whose caller had [timeLeft] at [now], a time of the monotonic clock. */
    fun classify(route: Route, timeLeft: Duration, now: Duration): CallerAttempt {
        val callers = routes.getOrPut(route.name) { RouteCallers(now) }
        val highest = callers.add(timeLeft, now)
        val elapsed = highest - timeLeft
        return when {
            elapsed < NOISE || !callers.startAlike(now) -> CallerAttempt.First
            elapsed < ReturnTimes.earliestReturn(route.targetLatency, highest) - TRANSIT_TOLERANCE ->
                CallerAttempt.Premature(elapsed)
            else -> CallerAttempt.Returned(elapsed)
        }
    }

    /** The times that the callers of one route had left. */
    private class RouteCallers(now: Duration) {
        private val maximum = RecentMaximum(now)
        private var all = DecayingCount(WINDOW)
        private var atHighest = DecayingCount(WINDOW)

        /** Adds [timeLeft] and returns the highest recent value. */
        fun add(timeLeft: Duration, now: Duration): Duration {
            // A higher value makes those before it look like repetitions, until others have it as well.
            if (timeLeft > maximum.value + NOISE) restart()
            all.add(now)
            if ((timeLeft - maximum.value).absoluteValue < NOISE) atHighest.add(now)
            return maximum.add(timeLeft, now)
        }

        private fun restart() {
            all = DecayingCount(WINDOW)
            atHighest = DecayingCount(WINDOW)
        }

        /** Whether first attempts have about the same time left, so that less of it shows an earlier attempt. */
        fun startAlike(now: Duration): Boolean {
            val count = all.value(now)
            return count >= FEWEST_CALLERS && atHighest.value(now) >= count * LOWEST_SHARE_AT_HIGHEST
        }
    }

    /** The maximum over the current window and the one before it. */
    private class RecentMaximum(private var windowStart: Duration) {
        private var current = Duration.ZERO
        private var previous = Duration.ZERO

        val value: Duration get() = maxOf(current, previous)

        fun add(time: Duration, now: Duration): Duration {
            if (now - windowStart >= WINDOW) {
                previous = if (now - windowStart < WINDOW * 2) current else Duration.ZERO
                current = Duration.ZERO
                windowStart = now
            }
            current = maxOf(current, time)
            return value
        }
    }

    private companion object {
        const val MAX_ROUTES = 256
        val WINDOW = 10.seconds

        /** Differences between the times that first attempts have left. */
        val NOISE = 50.milliseconds

        /**
         * Part of the retry time that can be missing from the difference, because of rounding, transit times and a
         * route whose timeout is a little shorter than the time that callers wait.
         */
        val TRANSIT_TOLERANCE = 80.milliseconds

        /** Requests below which the times left do not tell whether callers start alike. */
        const val FEWEST_CALLERS = 3.0

        /**
         * Part of the requests that have about the highest time left where callers start alike, even if most of them
         * return several times.
         */
        const val LOWEST_SHARE_AT_HIGHEST = 0.2
    }
}
