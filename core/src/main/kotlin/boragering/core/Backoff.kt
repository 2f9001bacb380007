package boragering.core

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.times

/** Exponentially growing pauses between attempts, each drawn at random so that callers do not retry in step. */
internal data class Backoff(val first: Duration, val longest: Duration) {
    /** The pause before the attempt that follows [failures] failed ones; [failures] is at least 1. */
    fun pause(failures: Int, random: Random): Duration {
        val ceiling = minOf(longest, first * (1 shl (failures - 1).coerceIn(0, MAXIMUM_DOUBLINGS)))
        return random.nextDouble(LOWEST_FRACTION, 1.0) * ceiling
    }

    private companion object {
        const val MAXIMUM_DOUBLINGS = 16

        /** A pause of almost nothing would repeat a call before the fault could pass. */
        const val LOWEST_FRACTION = 0.5
    }
}

/** Makes [random] safe for use by several threads. */
internal class SharedRandom(private val random: Random) : Random() {
    override fun nextBits(bitCount: Int): Int = synchronized(random) { random.nextBits(bitCount) }
}
