package boragering.gateway

import boragering.fleet.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What is known of a target that is silent towards one request.
 *
 * @property flowing whether events of the request's stream came before.
 * @property suspected whether the target counts as failed.
 * @property heardLately whether it answered other requests lately.
 */
internal data class TargetSilence(val flowing: Boolean, val suspected: Boolean, val heardLately: Boolean)

/**
 * Decides how long a request waits for a silent target before it goes on elsewhere. It answers two loads: groups that
 * stand still because a member is lost, which should be left early, and groups that are busy, which should not, since
 * the request would wait elsewhere as well and its prompt be read twice.
 */
internal object SilenceTimeout {
    private const val LATENCY_FACTOR = 2.5
    private const val GAP_FACTOR = 3
    private val BUSY = 2.seconds + 500.milliseconds
    private val SUSPECTED = 150.milliseconds

    /** Shortest wait for a target of which nothing bad is known. */
    val SHORTEST = 800.milliseconds

    /** Pause of all streams of a target after which it counts as failed. */
    val STALL = 450.milliseconds

    /** The time without bytes after which a request on [route] leaves its target. */
    fun of(route: Route, silence: TargetSilence): Duration {
        val gap = route.targetGap
        return when {
            silence.suspected && !silence.flowing -> SUSPECTED
            silence.heardLately -> BUSY
            silence.flowing && gap != null -> maxOf(gap * GAP_FACTOR, SHORTEST)
            else -> maxOf(route.targetLatency * LATENCY_FACTOR, SHORTEST)
        }
    }
}
