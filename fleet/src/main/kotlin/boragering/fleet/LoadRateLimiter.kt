package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits the rate and the concurrency of weight loads. The weight store slows down every load when too many run
 * concurrently, and allows a limited number of starts per second. Not thread-safe.
 */
internal class LoadRateLimiter {
    private val starts = ArrayDeque<Duration>()

    /**
     * Acquires a permit for one load while [running] others run; returns `false` if the load has to wait. An [urgent]
     * load completes a group and may start although it slows the others, which only serve spare instances.
     */
    fun tryAcquire(now: Duration, running: Int, engine: EngineProfile, urgent: Boolean = false): Boolean {
        while (starts.isNotEmpty() && now - starts.first() > WINDOW) starts.removeFirst()
        val allowed = (engine.loadsPerSecond * (WINDOW / 1.seconds)).toInt().coerceAtLeast(1)
        val limit = if (urgent) engine.loadsAtOnce * URGENT_LOADS else engine.loadsAtOnce
        if (running >= limit || starts.size >= allowed) return false
        starts.addLast(now)
        return true
    }

    /** Counts [loads] that another planner started shortly before [now]. */
    fun recordExternalLoads(now: Duration, loads: Int) = repeat(loads) { starts.addLast(now) }

    private companion object {
        val WINDOW = 5.seconds

        /** Urgent loads may start up to this multiple of the number that the weight store serves at full speed. */
        const val URGENT_LOADS = 2
    }
}
