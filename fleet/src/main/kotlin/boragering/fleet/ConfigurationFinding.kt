package boragering.fleet

import boragering.core.Severity

/**
 * What [ConfigurationCheck] found in the value [field] of [part]; [field] is `null` if the whole part is meant.
 * [message] is a predicate, [expected] describes a valid value.
 */
data class ConfigurationFinding(
    val severity: Severity,
    val part: ConfigurationPart,
    val field: ConfigurationField?,
    val message: String,
    val expected: String? = null,
)
