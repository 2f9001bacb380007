package boragering.gateway

import boragering.core.Clock
import kotlin.math.abs
import kotlin.time.Duration.Companion.milliseconds

/**
 * Detects that the host may have been suspended, during which the monotonic clock may stop while the time of day
 * advances. A step of the time of day counts as a suspension too, because the two cannot be told apart. Not thread
 * safe.
 */
internal class SuspensionDetector(private val clock: Clock) {
    private var offset = offset()

    /** Makes [suspended] report only suspensions from now on. */
    fun reset() {
        offset = offset()
    }

    /** Whether the host may have been suspended since the last [reset], or since the creation of this object. */
    fun suspended(): Boolean = abs(offset() - offset) > TOLERANCE.inWholeMilliseconds

    private fun offset(): Long = clock.wallMilliseconds() - clock.monotonic().inWholeMilliseconds

    private companion object {
        val TOLERANCE = 300.milliseconds
    }
}
