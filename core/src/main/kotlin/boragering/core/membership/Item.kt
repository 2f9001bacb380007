package boragering.core.membership

import kotlinx.collections.immutable.PersistentList
import kotlinx.serialization.Serializable

/** A versioned document that daemons pass on to one another. A lower version never replaces a higher one. */
@Serializable
data class Item(val key: String, val version: Long, val content: String)

/**
 * The items that this daemon knows. Safe for use by several threads.
 */
interface Items {
    /** The newest known item of [key]. */
    fun get(key: String): Item?

    /** The newest known items whose keys start with [prefix], in key order. */
    fun all(prefix: String): PersistentList<Item>

    /**
     * Takes an item from the store or from a peer, and passes it on to peers if it is newer than the known one.
     * Returns whether it was newer.
     */
    fun accept(item: Item): Boolean

    /**
     * Takes an item that most other daemons derive themselves. An implementation may leave it to anti-entropy instead
     * of passing it on at once. Returns whether it was newer.
     */
    fun acceptDerived(item: Item): Boolean = accept(item)

    /** Calls [listener] after each newer item whose key starts with [prefix], and at once for those known already. */
    fun listen(prefix: String, listener: (Item) -> Unit)
}
