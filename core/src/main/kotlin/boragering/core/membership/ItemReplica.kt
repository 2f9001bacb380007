package boragering.core.membership

import boragering.core.Clock
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration.Companion.minutes

/**
 * The in-memory items of this daemon. Listeners are called without a lock held and, for each key, in version order.
 * When several threads accept versions of the same key, one of them calls the listeners for all of these versions.
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
     * Removes [item] if no newer version has replaced it, and returns whether it was removed. Versions of its key up to
     * the removed one are refused for 10 minutes, so that peers that remove the item later do not reintroduce it.
     */
    fun forget(item: Item): Boolean = shard(item.key).forget(item)

    /** Removes all items whose keys start with [prefix]; the same versions can be accepted again immediately. */
    fun clear(prefix: String) = shards.forEach { it.clear(prefix) }

    private fun shard(key: String): ItemShard = shards[Math.floorMod(key.hashCode(), SHARDS)]

    private companion object {
        const val SHARDS = 16
        val REFUSAL_PERIOD = 10.minutes
    }
}
