package boragering.core

import org.apache.commons.codec.digest.MurmurHash3

/**
 * Rendezvous hashing: every daemon that knows the same candidates ranks them alike for a key, and the loss of a
 * candidate moves only the keys that it held.
 */
object Rendezvous {
    /** The [count] highest-ranked candidates for [key], highest first; fewer when there are not as many. */
    fun <T : Any> top(key: String, candidates: Collection<T>, count: Int, name: (T) -> String): List<T> =
        candidates
            .map { Ranked(it, score(key, name(it)), name(it)) }
            .sortedWith(compareByDescending<Ranked<T>> { it.score }.thenBy { it.name })
            .take(count)
            .map { it.candidate }

    private fun score(key: String, name: String): Long = MurmurHash3.hash128x64("$key\u0000$name".toByteArray())[0]

    private data class Ranked<T>(val candidate: T, val score: Long, val name: String)
}
