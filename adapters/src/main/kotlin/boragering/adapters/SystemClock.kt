package boragering.adapters

import boragering.core.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** The clocks of this machine. */
object SystemClock : Clock {
    override fun wallMilliseconds(): Long = System.currentTimeMillis()

    override fun monotonic(): Duration = System.nanoTime().nanoseconds
}
