package boragering.core.membership

import boragering.core.DaemonId
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.random.Random

/** Takes daemons in a random order in which each comes once before any comes again. Safe for use by several threads. */
internal class ShuffledRoundRobin(private val random: Random) {
    private val lock = ReentrantLock()
    private val order = ArrayDeque<DaemonId>()

    /** The next [count] of [daemons]; fewer when there are not as many. */
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
