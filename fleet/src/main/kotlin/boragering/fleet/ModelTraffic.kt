package boragering.fleet

import boragering.core.DecayingSum
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The requests for one model that a gateway has recently sent to targets, and those for which it found no capacity.
 * Times are of the monotonic clock. Not thread-safe.
 */
class ModelTraffic {
    private val sent = DecayingSum(MEMORY)
    private val unserved = DecayingSum(MEMORY)
    private var meanDuration: Duration? = null

    /** Records that a request was sent at [now]. */
    fun recordSent(now: Duration) = sent.add(now)

    /** Records that a request was rejected at [now], because no target had capacity or there was none. */
    fun recordUnserved(now: Duration) = unserved.add(now)

    /** Records that a target has answered a request within [duration]. */
    fun recordAnswered(duration: Duration) {
        val mean = meanDuration ?: duration
        meanDuration = mean + (duration - mean) * DURATION_WEIGHT
    }

    /** The fraction of requests that were rejected; 0 while there are too few requests to tell. */
    fun unservedShare(now: Duration): Double {
        val all = sent.value(now) + unserved.value(now)
        return if (all < FEWEST_REQUESTS || unserved.value(now) < FEWEST_UNSERVED) 0.0 else unserved.value(now) / all
    }

    /**
     * The number of requests that would be in progress at once if this gateway served all its callers; `null` while no
     * answer has shown how long a request takes. Rejected callers come back once, and do not count twice.
     */
    fun offered(now: Duration): Double? {
        val attempts = sent.perSecond(now) + unserved.perSecond(now)
        return meanDuration?.let { attempts / (1 + unservedShare(now)) * (it / 1.seconds) }
    }

    private companion object {
        /** Long enough for some requests at a gateway with one request per second. */
        val MEMORY = 6.seconds

        /** Weight of one answer in the mean duration. */
        const val DURATION_WEIGHT = 0.05
        const val FEWEST_REQUESTS = 3.0

        /** A gateway with few requests would otherwise take one rejection for a shortage. */
        const val FEWEST_UNSERVED = 1.5
    }
}
