package boragering.core.claims

import boragering.core.Clock
import kotlin.time.Duration

/**
 * Bounds on the present wall-clock time in milliseconds since the Unix epoch. The wall clock can jump; the monotonic
 * clock shows what it should state since the start of this daemon. Claims are written with the later time and removed
 * by the earlier one, so that a jump in either direction keeps them longer rather than losing them.
 */
internal class ClaimClock(private val clock: Clock) {
    private val wallAtStart = clock.wallMilliseconds()
    private val monotonicAtStart: Duration = clock.monotonic()

    /** The earlier one of the wall clock and what it should state. */
    val earliest: Long get() = minOf(clock.wallMilliseconds(), extrapolatedWallTime)

    /** The later one of the wall clock and what it should state. */
    val latest: Long get() = maxOf(clock.wallMilliseconds(), extrapolatedWallTime)

    private val extrapolatedWallTime: Long get() = wallAtStart + (clock.monotonic() - monotonicAtStart).inWholeMilliseconds
}
