package boragering.core

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.times

/** Exponentially growing pauses between attempts, each drawn at random so that callers do not retry in step. */
internal data class Backoff(val initialDelay: Duration, val maximumDelay: Duration) {
    /** The delayAfter before the attempt that follows [failures] failed ones; [failures] is at least 1. */
    fun delayAfter(failures: Int, random: Random): Duration {
        val ceiling = minOf(maximumDelay, initialDelay * (1 shl (failures - 1).coerceIn(0, MAXIMUM_DOUBLINGS)))
        return random.nextDouble(MINIMUM_JITTER_FACTOR, 1.0) * ceiling
    }

    private companion object {
        const val MAXIMUM_DOUBLINGS = 16

        /** A delayAfter of almost nothing would repeat a call before the fault could pass. */
        const val MINIMUM_JITTER_FACTOR = 0.5
    }
}

/** Makes [random] safe for use by several threads. */
internal class ThreadSafeRandom(private val random: Random) : Random() {
    override fun nextBits(bitCount: Int): Int = synchronized(random) { random.nextBits(bitCount) }
}
