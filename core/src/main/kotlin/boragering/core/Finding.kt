package boragering.core

import kotlinx.serialization.Serializable

/**
 * An error in a document that a person wrote. [path] is the path of the value, for example
 * `entries[2].limits.queueTime`. [line] is the line number in the file, starting at 1, or `null` when it is unknown.
 * [expected] describes a valid value.
 */
@Serializable
data class Finding(val path: String, val message: String, val expected: String? = null, val line: Int? = null)
