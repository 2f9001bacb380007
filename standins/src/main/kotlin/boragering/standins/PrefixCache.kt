package boragering.standins

/** A cache of prompt prefixes in blocks of a fixed length; the least recently used blocks are dropped first. */
internal class PrefixCache(private val capacity: Int) {
    private val blocks = object : LinkedHashMap<Long, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<Long, Unit>) = size > capacity
    }

    /** Adds [prompt] and returns how many of its characters were cached as a prefix. */
    fun use(prompt: String): Int = synchronized(blocks) {
        var hash = 0L
        val chain = prompt.chunked(BLOCK_CHARACTERS).filter { it.length == BLOCK_CHARACTERS }.map { block ->
            hash = hash * HASH_FACTOR + block.hashCode()
            hash
        }
        val cached = chain.takeWhile { blocks[it] != null }.size
        chain.forEach { blocks[it] = Unit }
        cached * BLOCK_CHARACTERS
    }

    companion object {
        /** Length of a block: 16 tokens of 4 characters. */
        const val BLOCK_CHARACTERS = 64

        private const val INITIAL_CAPACITY = 16
        private const val LOAD_FACTOR = 0.75f
        private const val HASH_FACTOR = 1_000_003L
    }
}
