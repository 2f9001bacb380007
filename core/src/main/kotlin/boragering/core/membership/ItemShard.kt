package boragering.core.membership

import boragering.core.Clock
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/** A listener for items whose keys start with [prefix]. */
internal data class ItemListener(val prefix: String, val call: (Item) -> Unit)

/** One part of an [ItemReplica] with its own lock. A removed item is refused for [refusalPeriod]. */
internal class ItemShard(private val clock: Clock, private val refusalPeriod: Duration) {
    private val lock = ReentrantLock()
    private val slots = HashMap<String, Slot>()
    private var listeners: PersistentList<ItemListener> = persistentListOf()

    fun get(key: String): Item? = lock.withLock { slots[key]?.newest }

    fun all(prefix: String): List<Item> =
        lock.withLock { slots.values.mapNotNull { it.newest }.filter { it.key.startsWith(prefix) } }

    fun accept(item: Item): Boolean {
        val slot = lock.withLock {
            slots.getOrPut(item.key) { Slot() }.takeIf { it.accepts(item) }?.also { it.put(item) }
        }
        slot?.let(::deliver)
        return slot != null
    }

    fun listen(listener: ItemListener) {
        val known = lock.withLock {
            listeners = listeners.add(listener)
            val matching = slots.values.filter { slot -> slot.newest?.key?.startsWith(listener.prefix) == true }
            matching.onEach { slot -> slot.newest?.let { slot.pending += Delivery(it, listOf(listener)) } }
        }
        known.forEach(::deliver)
    }

    fun forget(item: Item): Boolean = lock.withLock {
        val now = clock.monotonic()
        slots.values.removeIf { it.newest == null && it.refusedUntil <= now && it.isIdle() }
        val slot = slots[item.key]?.takeIf { it.newest?.version == item.version }
        slot?.run {
            newest = null
            refusedVersion = item.version
            refusedUntil = now + refusalPeriod
        }
        slot != null
    }

    fun clear(prefix: String) = lock.withLock {
        slots.filterKeys { it.startsWith(prefix) }.values.forEach {
            it.newest = null
            it.refusedUntil = Duration.ZERO
        }
    }

    private fun deliver(slot: Slot) {
        var next = lock.withLock { slot.nextDelivery() }
        while (next != null) {
            try {
                next.run()
            } finally {
                lock.withLock { slot.delivering = false }
            }
            next = lock.withLock { slot.nextDelivery() }
        }
    }

    private inner class Slot {
        var newest: Item? = null
        var refusedVersion = Long.MIN_VALUE
        var refusedUntil = Duration.ZERO
        var delivering = false
        val pending = ArrayDeque<Delivery>()

        fun accepts(item: Item): Boolean {
            val known = newest
            val refused = item.version <= refusedVersion && clock.monotonic() < refusedUntil
            return !refused && (known == null || item.version > known.version)
        }

        fun put(item: Item) {
            newest = item
            pending += Delivery(item, listeners.filter { item.key.startsWith(it.prefix) })
        }

        /**
         * Removes and returns the next delivery, or `null` if there is none or another thread is delivering this key.
         */
        fun nextDelivery(): Delivery? =
            if (delivering) null else pending.removeFirstOrNull()?.also { delivering = true }

        fun isIdle(): Boolean = !delivering && pending.isEmpty()
    }

    private class Delivery(private val item: Item, private val listeners: List<ItemListener>) {
        fun run() = listeners.forEach { it.call(item) }
    }
}
