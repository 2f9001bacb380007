package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

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
            elapsed < RouteCallers.NOISE || !callers.startAlike(now) -> CallerAttempt.First
            elapsed < ReturnTimes.earliestReturn(route.targetLatency, highest) - TRANSIT_TOLERANCE ->
                CallerAttempt.Premature(elapsed)
            else -> CallerAttempt.Returned(elapsed)
        }
    }

    private companion object {
        const val MAX_ROUTES = 256

        /**
         * Part of the retry time that can be missing from the difference, because of rounding, transit times and a
         * route whose timeout is a little shorter than the time that callers wait.
         */
        val TRANSIT_TOLERANCE = 80.milliseconds
    }
}
