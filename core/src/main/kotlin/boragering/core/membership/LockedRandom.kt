package boragering.core.membership

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.random.Random
import kotlin.time.Duration

/** Makes [source] safe for use by several threads; seeded generators of the standard library are not thread-safe. */
class LockedRandom(private val source: Random) : Random() {
    private val lock = ReentrantLock()

    override fun nextBits(bitCount: Int): Int = lock.withLock { source.nextBits(bitCount) }
}

/** Multiplies [interval] by a random factor from 0.8 to 1.2, so that daemons do not act at the same time. */
internal fun Random.jittered(interval: Duration): Duration = interval * (MINIMUM_FACTOR + nextDouble() * FACTOR_RANGE)

private const val MINIMUM_FACTOR = 0.8
private const val FACTOR_RANGE = 0.4
