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
 * route. A gateway cannot know this otherwise, because callers return to any gateway. Not thread-safe.
 */
class CallerReturns {
    private val routes = RecentMap<String, RecentMaximum>(MAX_ROUTES)

    /** Classifies a request on [route] whose caller had [timeLeft] at [now], a time of the monotonic clock. */
    fun classify(route: Route, timeLeft: Duration, now: Duration): CallerAttempt {
        val highest = routes.getOrPut(route.name) { RecentMaximum(now) }.add(timeLeft, now)
        val elapsed = highest - timeLeft
        return when {
            elapsed < NOISE -> CallerAttempt.First
            elapsed < ReturnTimes.earliestReturn(route.targetLatency, highest) - TRANSIT_TOLERANCE ->
                CallerAttempt.Premature(elapsed)
            else -> CallerAttempt.Returned(elapsed)
        }
    }

    /** The maximum over the current window and the one before it. */
    private class RecentMaximum(private var windowStart: Duration) {
        private var current = Duration.ZERO
        private var previous = Duration.ZERO

        fun add(value: Duration, now: Duration): Duration {
            if (now - windowStart >= WINDOW) {
                previous = if (now - windowStart < WINDOW * 2) current else Duration.ZERO
                current = Duration.ZERO
                windowStart = now
            }
            current = maxOf(current, value)
            return maxOf(current, previous)
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
    }
}
