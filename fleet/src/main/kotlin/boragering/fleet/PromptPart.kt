package boragering.fleet

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** A part of a prompt that several requests may share, such as instructions or a document. */
@JvmInline
value class PromptPart(val id: String) {
    override fun toString(): String = id

    /** Reads the parts of a prompt. */
    companion object {
        /** Number of shared parts of one prompt that are considered; further ones are ignored. */
        const val MAX_SHARED_PARTS = 32

        /**
         * The parts that other prompts may contain as well, from header [lines] that list all parts in order as
         * `ID:TOKENS`, separated by commas, with hexadecimal ids. The last part is the request's own.
         */
        fun shared(lines: List<String>): PersistentList<PromptPart> {
            if (lines.isEmpty()) return persistentListOf()
            val ids = lines.flatMap { it.split(',') }.map(::normalizedId).filter { it.isNotEmpty() }
            return ids.dropLast(1).take(MAX_SHARED_PARTS).distinct().map(::PromptPart).toPersistentList()
        }

        private fun normalizedId(entry: String): String = entry.substringBefore(':').trim().lowercase().trimStart('0')
    }
}
