package boragering.core.membership

import boragering.core.Clock
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Detects that this process was paused. [check] is called at least every [CHECK_INTERVAL], so a gap of more than
 * [PAUSE_THRESHOLD] between two calls means that the process did not run. Safe for use by several threads.
 */
class PauseDetector(private val clock: Clock) {
    private val lock = ReentrantLock()
    private var lastCheck: Duration? = null
    private var listeners = emptyList<(Duration) -> Unit>()

    /** Number of pauses detected so far; a time measurement is invalid if this number changed while it was taken. */
    @Volatile
    var pauseCount: Int = 0
        private set

    /** Calls [listener] with the length of each pause, before the [check] that detected it returns. */
    fun listen(listener: (Duration) -> Unit) = lock.withLock { listeners = listeners + listener }

    /**
     * Calls the listeners if the time since the last call exceeds [PAUSE_THRESHOLD], so that the caller continues with
     * the state they have updated.
     */
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
        /** Maximum time between calls of [check] in a running process. */
        val CHECK_INTERVAL = 400.milliseconds

        /** A longer gap between two calls is a pause; a ping that timed out during a pause proves nothing. */
        val PAUSE_THRESHOLD = 1.seconds
    }
}
