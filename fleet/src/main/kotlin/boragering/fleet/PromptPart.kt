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

        private const val MAX_ID_LENGTH = 64

        /**
         * The parts that other prompts may contain as well, from header [lines] that list all parts in order as
         * `ID:TOKENS`, separated by commas, with hexadecimal ids. The last part is the request's own. Parts with ids of
         * more than 64 characters are ignored.
         */
        fun shared(lines: List<String>): PersistentList<PromptPart> {
            if (lines.isEmpty()) return persistentListOf()
            val ids = lines.flatMap { it.split(',') }.map(::normalizedId).filter { it.isNotEmpty() }
            val shared = ids.dropLast(1).filter { it.length <= MAX_ID_LENGTH }.distinct()
            return shared.take(MAX_SHARED_PARTS).map(::PromptPart).toPersistentList()
        }

        private fun normalizedId(entry: String): String {
            val id = entry.substringBefore(':').trim().lowercase()
            return id.trimStart('0').ifEmpty { id.take(1) }
        }
    }
}
