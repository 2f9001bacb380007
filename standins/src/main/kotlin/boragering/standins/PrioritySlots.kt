package boragering.standins

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import java.util.PriorityQueue

/** A fixed number of slots; waiters with a higher priority come first, equal ones in order of arrival. */
internal class PrioritySlots(private val total: Int) {
    private class Waiter(val priority: Int, val arrival: Long) {
        val granted = CompletableDeferred<Unit>()
    }

    private val lock = Any()
    private val waiters = PriorityQueue(compareByDescending<Waiter> { it.priority }.thenBy { it.arrival })
    private var arrivals = 0L
    private var used = 0

    /** Number of slots in use. */
    val running: Int get() = synchronized(lock) { used }

    /** Number of waiters. */
    val queued: Int get() = synchronized(lock) { waiters.size }

    /** Waits for a slot and holds it during [action]. */
    suspend fun <T> withSlot(priority: Int, action: suspend () -> T): T {
        acquire(priority)
        return try {
            action()
        } finally {
            synchronized(lock) { release() }
        }
    }

    private suspend fun acquire(priority: Int) {
        val waiter = synchronized(lock) {
            if (used < total) {
                used++
                null
            } else {
                Waiter(priority, arrivals++).also(waiters::add)
            }
        }
        try {
            waiter?.granted?.await()
        } catch (cancelled: CancellationException) {
            synchronized(lock) { if (!waiters.remove(waiter)) release() }
            throw cancelled
        }
    }

    private fun release() {
        val next = waiters.poll()
        if (next == null) used-- else next.granted.complete(Unit)
    }
}
