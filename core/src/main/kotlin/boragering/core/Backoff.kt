package boragering.core

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.times

/** Exponential backoff with random jitter, so that callers do not retry at the same moment. */
internal data class Backoff(val initialDelay: Duration, val maximumDelay: Duration) {
    /** Returns the delay before the next attempt after [failures] failed attempts; [failures] is at least 1. */
    fun delayAfter(failures: Int, random: Random): Duration {
        val ceiling = minOf(maximumDelay, initialDelay * (1 shl (failures - 1).coerceIn(0, MAXIMUM_DOUBLINGS)))
        return random.nextDouble(MINIMUM_JITTER_FACTOR, 1.0) * ceiling
    }

    private companion object {
        const val MAXIMUM_DOUBLINGS = 16

        /** With a delay close to zero, a call would be repeated before the fault could clear. */
        const val MINIMUM_JITTER_FACTOR = 0.5
    }
}

/** Wraps [random] in a lock, so that several threads can use it. */
internal class ThreadSafeRandom(private val random: Random) : Random() {
    override fun nextBits(bitCount: Int): Int = synchronized(random) { random.nextBits(bitCount) }
}
