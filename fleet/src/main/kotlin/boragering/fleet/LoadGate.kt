package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds how many loads of weights begin: the store of weights slows each load beyond a number at once, and allows only
 * so many starts in a second. Not safe for use by several threads.
 */
internal class LoadGate {
    private val starts = ArrayDeque<Duration>()

    /**
     * Takes the permission for one load while [running] others run; `false` when it has to wait. One that completes a
     * group ([urgent]) begins though it slows the others, which are only for spare instances.
     */
    fun take(now: Duration, running: Int, engine: EngineProfile, urgent: Boolean = false): Boolean {
        while (starts.isNotEmpty() && now - starts.first() > WINDOW) starts.removeFirst()
        val allowed = (engine.loadsPerSecond * (WINDOW / 1.seconds)).toInt().coerceAtLeast(1)
        val limit = if (urgent) engine.loadsAtOnce * URGENT_LOADS else engine.loadsAtOnce
        if (running >= limit || starts.size >= allowed) return false
        starts.addLast(now)
        return true
    }

    /** Counts [loads] that others started shortly before [now]. */
    fun assume(now: Duration, loads: Int) = repeat(loads) { starts.addLast(now) }

    private companion object {
        val WINDOW = 5.seconds

        /** Urgent loads begin up to this multiple of the number that the store of weights serves at full speed. */
        const val URGENT_LOADS = 2
    }
}
