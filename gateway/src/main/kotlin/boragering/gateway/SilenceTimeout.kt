package boragering.gateway

import boragering.fleet.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What is known of a target that is silent towards one request.
 *
 * @property streaming whether events of the request's stream came before.
 * @property suspected whether the target counts as failed.
 * @property recentlyActive whether it answered other requests lately.
 */
internal data class TargetSilence(val streaming: Boolean, val suspected: Boolean, val recentlyActive: Boolean)

/**
 * Decides how long a request waits for a silent target before it goes on elsewhere. It answers two loads: groups that
 * stand still because a member is lost, which should be left early, and groups that are busy, which should not, since
 * the request would wait elsewhere as well and its prompt be read twice.
 */
internal object SilenceTimeout {
    private const val LATENCY_FACTOR = 2.5
    private const val GAP_FACTOR = 3
    private val BUSY_TIMEOUT = 2.seconds + 500.milliseconds
    private val SUSPECTED_TIMEOUT = 150.milliseconds

    /** Shortest wait for a target of which nothing bad is known. */
    val MIN_TIMEOUT = 800.milliseconds

    /** Pause of all streams of a target after which it counts as failed. */
    val STALL_TIMEOUT = 450.milliseconds

    /** The time without bytes after which a request on [route] leaves its target. */
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
