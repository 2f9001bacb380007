package boragering.core.membership

import boragering.core.DaemonId
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.random.Random

/**
 * Selects daemons in a random order in which each daemon is selected once before any is selected again. Safe for use by
 * several threads.
 */
internal class ShuffledRoundRobin(private val random: Random) {
    private val lock = ReentrantLock()
    private val order = ArrayDeque<DaemonId>()

    /** Returns the next [count] of [daemons], or all of them if there are fewer. */
    fun next(daemons: Collection<DaemonId>, count: Int): List<DaemonId> = lock.withLock {
        order.retainAll(daemons.toSet())
        val taken = LinkedHashSet<DaemonId>()
        while (taken.size < minOf(count, daemons.size)) {
            if (order.isEmpty()) order += daemons.shuffled(random)
            taken += order.removeFirst()
        }
        taken.toList()
    }
}
