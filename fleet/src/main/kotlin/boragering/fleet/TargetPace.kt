package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What a gateway knows of the pace of a target.
 *
 * @property gap the time between two events of a stream in which an average moment of the target's streams falls: few
 * long pauses count as much as many short ones.
 * @property probeDue whether the target may get a request that tests whether it has recovered, since neither a request
 * nor an event has shown it for a while.
 */
data class PaceEstimate(val gap: Duration, val probeDue: Boolean)

/**
 * Measures the time between the events of the streams of one target, over the last second or so.
 *
 * An event costs a few additions, since events are frequent; older gaps lose their weight in steps of [DECAY_STEP], and
 * nothing is allocated. A target without new gaps keeps its last pace for [MEMORY], and is then unknown again. Not
 * thread-safe.
 */
class TargetPace {
    private var seconds = 0.0
    private var squaredSeconds = 0.0
    private var gaps = 0.0
    private var decayedAt = Duration.ZERO
    private var learnedGap = 0.0
    private var learnedAt = Duration.ZERO
    private var probedAt = Duration.ZERO

    /** Records that an event arrived at [now], [gap] after the event before it in the same stream. */
    fun onGap(gap: Duration, now: Duration) {
        if (now - decayedAt >= DECAY_STEP) decay(now)
        val length = gap / 1.seconds
        seconds += length
        squaredSeconds += length * length
        gaps += 1
        val known = learnedGap > 0 && now - learnedAt < MEMORY
        if (!known && gaps < MIN_GAPS || seconds <= 0) return
        learnedGap = squaredSeconds / seconds
        learnedAt = now
    }

    /** Records that a request is sent to the target at [now]; any request serves as a probe. */
    fun onSend(now: Duration) {
        probedAt = now
    }

    /** The pace at [now]; `null` if it is not known. [gateways] is the number of gateways that may send probes. */
    fun estimate(now: Duration, gateways: Int): PaceEstimate? {
        if (learnedGap <= 0 || now - learnedAt >= MEMORY) return null
        val interval = (PROBE_INTERVAL_PER_GATEWAY * gateways).coerceIn(SHORTEST_PROBE_INTERVAL, LONGEST_PROBE_INTERVAL)
        return PaceEstimate(learnedGap.seconds, probeDue = now - maxOf(probedAt, learnedAt) >= interval)
    }

    private fun decay(now: Duration) {
        val weight = GAP_DECAY.weight(now - decayedAt)
        seconds *= weight
        squaredSeconds *= weight
        gaps *= weight
        decayedAt = now
    }

    private companion object {
        val DECAY_STEP = 100.milliseconds

        /** Age at which a gap has lost all but 1/e of its weight. */
        val GAP_DECAY = ExponentialDecay(memory = 1.seconds)

        /** Fewer gaps may be one pause of one stream. A slow target has few events: two streams have five a second. */
        const val MIN_GAPS = 2.0

        /** Slow periods of targets last some seconds. */
        val MEMORY = 4.seconds

        /** All gateways together send a slow target about two probes per second. */
        val PROBE_INTERVAL_PER_GATEWAY = 500.milliseconds
        val SHORTEST_PROBE_INTERVAL = 1.seconds
        val LONGEST_PROBE_INTERVAL = 3.seconds
    }
}
