package boragering.fleet

import kotlinx.serialization.Serializable

/**
 * The values of [field] in the version in force and in the checked one; `null` if it has none there. Of API keys, only
 * those that are removed or added are listed, masked.
 */
@Serializable
data class FieldDifference(val field: String, val before: String?, val after: String?)
