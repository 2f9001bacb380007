package boragering.standins

import java.util.Base64

/**
 * The keys that a request names, as etcd defines them: one key without [end], all keys from [start] when [end] is the
 * zero byte, otherwise the half-open interval. Keys are byte strings, held as one character per byte.
 */
internal data class KeyRange(val start: String, val end: String) {
    operator fun contains(key: String): Boolean = when (end) {
        "" -> key == start
        "\u0000" -> key >= start
        else -> key >= start && key < end
    }

    companion object {
        /** Decodes the base64 strings of a request. */
        fun decode(key: String, rangeEnd: String) = KeyRange(decodeKey(key), decodeKey(rangeEnd))
    }
}

/** Decodes a base64 key into one character per byte, so that comparing strings compares bytes. */
internal fun decodeKey(encoded: String): String = String(Base64.getDecoder().decode(encoded), Charsets.ISO_8859_1)

/** Encodes a key for a response. */
internal fun encodeKey(key: String): String = Base64.getEncoder().encodeToString(key.toByteArray(Charsets.ISO_8859_1))

/** Decodes base64 UTF-8 text for a record. */
internal fun decodeText(encoded: String): String = Base64.getDecoder().decode(encoded).decodeToString()
