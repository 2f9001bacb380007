package boragering.gateway

import boragering.core.Clock
import kotlin.math.abs
import kotlin.time.Duration.Companion.milliseconds

/**
 * Notices that the machine may have been suspended since a moment: its monotonic clock may stand still meanwhile, while
 * the time of day does not. A step of the time of day counts as a suspension too, since the two look alike. Not safe
 * for use by several threads.
 */
internal class SuspensionDetector(private val clock: Clock) {
    private var offset = offset()

    /** From now on, [suspended] tells of suspensions after this moment. */
    fun reset() {
        offset = offset()
    }

    /** Whether the machine may have been suspended since [reset]. */
    fun suspended(): Boolean = abs(offset() - offset) > TOLERANCE.inWholeMilliseconds

    private fun offset(): Long = clock.wallMilliseconds() - clock.monotonic().inWholeMilliseconds

    private companion object {
        val TOLERANCE = 300.milliseconds
    }
}
