package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * The instances that have refused a request and asked for none for some time. This holds for one start of an instance,
 * and for this gateway only: an instance asks each gateway by itself. Times are of the monotonic clock. Not
 * thread-safe.
 */
class InstanceBackoffs {
    private val ends = RecentMap<InstanceStart, Duration>(MAX_INSTANCES)

    /** Records at [now] that [instance] asks for no requests for [time], of which [MAX_TIME] at most is believed. */
    fun record(instance: InstanceStart, time: Duration, now: Duration) {
        ends[instance] = now + time.coerceAtMost(MAX_TIME)
    }

    /** The [targets] that may get a request at [now]. */
    fun usable(targets: List<Target>, now: Duration): List<Target> =
        if (ends.isEmpty) targets else targets.filter { left(it, now) <= Duration.ZERO }

    /** The time from [now] until the first of [targets] may get a request; `null` if there is none. */
    fun waitTime(targets: List<Target>, now: Duration): Duration? = targets.minOfOrNull { left(it, now) }

    private fun left(target: Target, now: Duration): Duration = (ends[target.head] ?: now) - now

    companion object {
        /** Longest time that an instance may ask for. */
        val MAX_TIME = 1.minutes
        private const val MAX_INSTANCES = 4_096
    }
}
