package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds how many loads of weights begin: the store of weights slows each load beyond a number at once, and allows only
 * so many starts in a second. Not safe for use by several threads.
 */
internal class LoadGate {
    private val starts = ArrayDeque<Duration>()

    /** Takes the permission for one load while [running] others run; `false` when it has to wait. */
    fun take(now: Duration, running: Int, engine: EngineProfile): Boolean {
        while (starts.isNotEmpty() && now - starts.first() > WINDOW) starts.removeFirst()
        val allowed = (engine.loadsPerSecond * (WINDOW / 1.seconds)).toInt().coerceAtLeast(1)
        if (running >= engine.loadsAtOnce || starts.size >= allowed) return false
        starts.addLast(now)
        return true
    }

    /** Counts [loads] that others started shortly before [now]. */
    fun assume(now: Duration, loads: Int) = repeat(loads) { starts.addLast(now) }

    private companion object {
        val WINDOW = 5.seconds
    }
}
