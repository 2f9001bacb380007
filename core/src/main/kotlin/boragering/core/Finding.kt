package boragering.core

import kotlinx.serialization.Serializable

/**
 * A fault in a document that a person wrote. [path] names the place, for example `entries[2].limits.queueTime`;
 * [line] is the line in the file, from 1, when it is known; [expected] says what would be right.
 */
@Serializable
data class Finding(val path: String, val message: String, val expected: String? = null, val line: Int? = null)
