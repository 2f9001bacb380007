package boragering.core.membership

import boragering.core.Clock
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration.Companion.minutes

/**
 * The items of this daemon in memory. Listeners are called without a lock held, and for each key in the order of its
 * versions; when several threads accept versions of one key, one of them calls the listeners for all.
 */
class ItemReplica(clock: Clock) : Items {
    private val shards = List(SHARDS) { ItemShard(clock, REFUSAL_PERIOD) }

    override fun get(key: String): Item? = shard(key).get(key)

    override fun all(prefix: String): PersistentList<Item> =
        shards.flatMap { it.all(prefix) }.sortedBy { it.key }.toPersistentList()

    override fun accept(item: Item): Boolean = shard(item.key).accept(item)

    override fun listen(prefix: String, listener: (Item) -> Unit) {
        shards.forEach { it.listen(ItemListener(prefix, listener)) }
    }

    /**
     * Removes [item] if no newer version has replaced it, and refuses its key up to that version for 10 minutes, so
     * that peers that remove it somewhat later do not bring it back.
     */
    fun forget(item: Item): Boolean = shard(item.key).forget(item)

    /** Removes all items whose keys start with [prefix] without refusing them afterwards. */
    fun clear(prefix: String) = shards.forEach { it.clear(prefix) }

    private fun shard(key: String): ItemShard = shards[Math.floorMod(key.hashCode(), SHARDS)]

    private companion object {
        const val SHARDS = 16
        val REFUSAL_PERIOD = 10.minutes
    }
}
