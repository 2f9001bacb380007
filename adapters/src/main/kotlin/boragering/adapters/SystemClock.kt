package boragering.adapters

import boragering.core.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** The wall clock and the monotonic clock of the Java runtime. */
object SystemClock : Clock {
    override fun wallMilliseconds(): Long = System.currentTimeMillis()

    override fun monotonic(): Duration = System.nanoTime().nanoseconds
}
