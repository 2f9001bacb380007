package boragering.core.membership

import org.apache.commons.codec.digest.MurmurHash3
import java.nio.ByteBuffer

/**
 * Hashes over the versions of items. Keys are distributed over a fixed number of buckets, so two daemons whose items
 * differ in a few keys exchange the versions in a few buckets instead of all versions.
 */
object ItemDigest {
    /** Number of buckets; all daemons must use the same number. */
    const val BUCKETS = 64

    /** Returns the index of the bucket that contains [key]. */
    fun bucket(key: String): Int = Math.floorMod(hash(key), BUCKETS.toLong()).toInt()

    /** One hash for each bucket over the keys and versions of the [items] in it, independent of their order. */
    fun buckets(items: Collection<Item>): List<Long> {
        val hashes = LongArray(BUCKETS)
        items.forEach { item ->
            val bucket = bucket(item.key)
            hashes[bucket] = hashes[bucket] xor hash("${item.key}\u0000${item.version}")
        }
        return hashes.asList()
    }

    /** One hash over the keys and versions of all [items], independent of their order. */
    fun summary(items: Collection<Item>): Long {
        val buffer = ByteBuffer.allocate(BUCKETS * Long.SIZE_BYTES)
        buckets(items).forEach(buffer::putLong)
        return MurmurHash3.hash128x64(buffer.array())[0]
    }

    private fun hash(text: String): Long = MurmurHash3.hash128x64(text.toByteArray())[0]
}
