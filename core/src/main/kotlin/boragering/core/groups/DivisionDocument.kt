package boragering.core.groups

import boragering.core.membership.Item
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json

/** Converts a [Division] to and from the JSON document that is stored and sent to other daemons. */
object DivisionDocument {
    // A daemon of an older version ignores the fields that a newer one adds.
    private val json = Json { ignoreUnknownKeys = true }

    /** Encodes [division] as JSON. */
    fun encode(division: Division): String = json.encodeToString(division)

    /** Decodes a JSON document. Returns `null` when it is not a valid division. */
    fun decode(text: String): Division? =
        try {
            json.decodeFromString<Division>(text)
        } catch (_: IllegalArgumentException) {
            null
        }

    /** Builds the item that disseminates [division] to other daemons. */
    fun item(division: Division): Item = Item(Division.key(division.domain), division.version, encode(division))
}
