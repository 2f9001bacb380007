package boragering.core.membership

import kotlinx.collections.immutable.PersistentList
import kotlinx.serialization.Serializable

/** A versioned document that daemons distribute by gossip. A lower version never replaces a higher one. */
@Serializable
data class Item(val key: String, val version: Long, val content: String)

/** The items that this daemon knows. Safe for use by several threads. */
interface Items {
    /** The newest known item with [key], or `null` if there is none. */
    fun get(key: String): Item?

    /** The newest known items whose keys start with [prefix], in key order. */
    fun all(prefix: String): PersistentList<Item>

    /**
     * Stores an item from the store or from a peer, and gossips it to peers if it is newer than the known one.
     * Returns whether it was newer.
     */
    fun accept(item: Item): Boolean

    /**
     * Stores an item that most other daemons compute themselves. An implementation may leave its distribution to
     * anti-entropy instead of gossiping it immediately. Returns whether the item was newer than the known one.
     */
    fun acceptDerived(item: Item): Boolean = accept(item)

    /** Calls [listener] for each known item whose key starts with [prefix], and again for each newer version. */
    fun listen(prefix: String, listener: (Item) -> Unit)
}
