package boragering.gateway

import boragering.core.StoredValue

/** Upper bound for the memory of this document, in bytes. */
internal val StoredValue.memoryBytes: Long
    get() = OVERHEAD_BYTES + BYTES_PER_CHARACTER * (key.length + value.length)

/** Upper bound for the memory of this change, in bytes. */
internal val DocumentChange.memoryBytes: Long
    get() = when (this) {
        is DocumentChange.Written -> document.memoryBytes
        is DocumentChange.Removed -> OVERHEAD_BYTES + BYTES_PER_CHARACTER * key.length
    }

/** A text with a character beyond Latin-1 takes two bytes for each of its characters. */
private const val BYTES_PER_CHARACTER = 2L

/** Objects and map entries beside the texts. */
private const val OVERHEAD_BYTES = 200L
