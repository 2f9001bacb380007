package boragering.core.claims

import boragering.core.Clock
import kotlin.time.Duration

/**
 * Bounds on the present wall-clock time in milliseconds since the Unix epoch. The wall clock can jump, so its value
 * at the start of this daemon is also extrapolated with the monotonic clock. Claims are written with the later of both
 * times and expire by the earlier one, so that a jump in either direction can only keep claims longer.
 */
internal class ClaimClock(private val clock: Clock) {
    private val wallAtStart = clock.wallMilliseconds()
    private val monotonicAtStart: Duration = clock.monotonic()

    /** The earlier of the wall-clock time and the extrapolated time. */
    val earliest: Long get() = minOf(clock.wallMilliseconds(), extrapolatedWallTime)

    /** The later of the wall-clock time and the extrapolated time. */
    val latest: Long get() = maxOf(clock.wallMilliseconds(), extrapolatedWallTime)

    private val extrapolatedWallTime: Long
        get() = wallAtStart + (clock.monotonic() - monotonicAtStart).inWholeMilliseconds
}
