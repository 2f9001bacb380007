package boragering.core.membership

import boragering.core.Clock
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Notices that this process was paused: [check] is called at least every [CHECK_INTERVAL], so that a longer time
 * between two calls means that the process did not run. Safe for use by several threads.
 */
class PauseDetector(private val clock: Clock) {
    private val lock = ReentrantLock()
    private var lastCheck: Duration? = null
    private var listeners = emptyList<(Duration) -> Unit>()

    /** Number of pauses noticed so far; a measurement that started at another number is not valid. */
    @Volatile
    var pauseCount: Int = 0
        private set

    /** Calls [listener] with the length of each pause, before the [check] that noticed it returns. */
    fun listen(listener: (Duration) -> Unit) = lock.withLock { listeners = listeners + listener }

    /** Calls the listeners if the time since the last call exceeds [PAUSE_THRESHOLD]; callers then act on current knowledge. */
    fun check() {
        val now = clock.monotonic()
        val (gap, current) = lock.withLock {
            val gap = now - (lastCheck ?: now)
            lastCheck = maxOf(now, lastCheck ?: now)
            if (gap > PAUSE_THRESHOLD) pauseCount += 1
            gap to listeners
        }
        if (gap > PAUSE_THRESHOLD) current.forEach { it(gap) }
    }

    /** Constants for callers of [check]. */
    companion object {
        /** Time between calls of [check]. */
        val CHECK_INTERVAL = 400.milliseconds

        /** A longer time between two calls is a pause; a ping that was waited for meanwhile proves nothing. */
        val PAUSE_THRESHOLD = 1.seconds
    }
}
