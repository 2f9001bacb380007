package boragering.gateway

import boragering.fleet.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The state of a target that is silent with regard to one request.
 *
 * @property streaming whether events of the request's stream have arrived.
 * @property suspected whether the target is suspected to have failed.
 * @property recentlyActive whether the target recently sent data for any request.
 */
internal data class TargetSilence(val streaming: Boolean, val suspected: Boolean, val recentlyActive: Boolean)

/**
 * Determines how long a request waits for a silent target before it is sent to another one. A group that has lost a
 * member makes no progress and should be left early. A busy group should not be left, because the request would also
 * wait at another target, which would have to process its prompt a second time.
 */
internal object SilenceTimeout {
    private const val LATENCY_FACTOR = 2.5
    private const val GAP_FACTOR = 3
    private val BUSY_TIMEOUT = 2.seconds + 500.milliseconds
    private val SUSPECTED_TIMEOUT = 150.milliseconds

    /** Shortest timeout for a target that is not suspected. */
    val MIN_TIMEOUT = 800.milliseconds

    /** Time without data on all streams of a target after which the target is suspected. */
    val STALL_TIMEOUT = 450.milliseconds

    /** The time without data after which a request on [route] is sent to another target. */
    fun of(route: Route, silence: TargetSilence): Duration {
        val gap = route.targetGap
        return when {
            silence.suspected && !silence.streaming -> SUSPECTED_TIMEOUT
            silence.recentlyActive -> BUSY_TIMEOUT
            silence.streaming && gap != null -> maxOf(gap * GAP_FACTOR, MIN_TIMEOUT)
            else -> maxOf(route.targetLatency * LATENCY_FACTOR, MIN_TIMEOUT)
        }
    }
}
