package boragering.fleet

import kotlin.time.Duration

/**
 * The maximum of recent durations: over the current window of length [window], of which the first begins at
 * [windowStart], and the one before it. Not thread-safe.
 */
internal class RecentMaximum(private val window: Duration, private var windowStart: Duration) {
    private var current = Duration.ZERO
    private var previous = Duration.ZERO

    /** The maximum when a value was last added. */
    val value: Duration get() = maxOf(current, previous)

    /** Adds [value], observed at the monotonic time [now], and returns the maximum. */
    fun add(value: Duration, now: Duration): Duration {
        if (now - windowStart >= window) {
            previous = if (now - windowStart < window * 2) current else Duration.ZERO
            current = Duration.ZERO
            windowStart = now
        }
        current = maxOf(current, value)
        return this.value
    }
}
