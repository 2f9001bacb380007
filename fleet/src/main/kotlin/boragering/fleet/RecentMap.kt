package boragering.fleet

/** A map that keeps the [capacity] most recently written entries. Not thread-safe. */
internal class RecentMap<K, V>(private val capacity: Int) {
    private val entries = LinkedHashMap<K, V>()

    val isEmpty: Boolean get() = entries.isEmpty()

    val keys: Set<K> get() = entries.keys

    val values: Collection<V> get() = entries.values

    operator fun get(key: K): V? = entries[key]

    operator fun set(key: K, value: V) {
        entries.remove(key)
        entries[key] = value
        if (entries.size > capacity) entries.remove(entries.keys.first())
    }

    fun getOrPut(key: K, create: () -> V): V = get(key) ?: create().also { set(key, it) }

    fun remove(key: K): V? = entries.remove(key)

    fun removeIf(condition: (V) -> Boolean) {
        entries.values.removeIf(condition)
    }
}
