package boragering.core

import org.apache.commons.codec.digest.MurmurHash3

/**
 * Rendezvous hashing. Daemons that know the same candidates rank them in the same order for a key, and when a candidate
 * is lost, only its own keys move to other candidates.
 */
object Rendezvous {
    /** Returns up to [count] candidates for [key], the highest-ranked first. */
    fun <T : Any> top(key: String, candidates: Collection<T>, count: Int, name: (T) -> String): List<T> =
        candidates
            .map { Ranked(it, score(key, name(it)), name(it)) }
            .sortedWith(compareByDescending<Ranked<T>> { it.score }.thenBy { it.name })
            .take(count)
            .map { it.candidate }

    private fun score(key: String, name: String): Long = MurmurHash3.hash128x64("$key\u0000$name".toByteArray())[0]

    private data class Ranked<T>(val candidate: T, val score: Long, val name: String)
}
