package boragering.standins

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Numbers of running and queued requests. */
internal data class Load(val running: Int, val queued: Int)

/** The load as it was [lag] ago. */
internal class LaggedLoad(
    private val lag: Duration,
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private val samples = ArrayDeque<Pair<ComparableTimeMark, Load>>()

    /** Notes a change. */
    fun update(load: Load) = synchronized(samples) {
        samples.addLast(time.markNow() to load)
        dropOld()
    }

    /** The newest load that is old enough to be seen. */
    fun visible(): Load = synchronized(samples) {
        dropOld()
        samples.firstOrNull()?.takeIf { it.first.elapsedNow() >= lag }?.second ?: Load(0, 0)
    }

    private fun dropOld() {
        while (samples.size > 1 && samples[1].first.elapsedNow() >= lag) samples.removeFirst()
    }
}
