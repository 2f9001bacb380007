package boragering.fleet

import boragering.core.Severity

/** A part of a configuration document. Positions start at 0 and follow the order of the document. */
sealed interface ConfigurationPart {
    /** The document itself. */
    data object Document : ConfigurationPart

    /** The limits for callers' requests. */
    data object Limits : ConfigurationPart

    /** The route at position [route]. */
    data class OfRoute(val route: Int) : ConfigurationPart

    /** The service at position [part] of the split of the route at position [route]. */
    data class OfSplit(val route: Int, val part: Int) : ConfigurationPart

    /** The service at position [service]. */
    data class OfService(val service: Int) : ConfigurationPart

    /** The engine of the service at position [service]. */
    data class OfEngine(val service: Int) : ConfigurationPart

    /** The model at position [model] of the service at position [service]. */
    data class OfModel(val service: Int, val model: Int) : ConfigurationPart

    /** The organisation at position [organisation]. */
    data class OfOrganisation(val organisation: Int) : ConfigurationPart
}

/** A value of a [ConfigurationPart], whatever a document calls it. */
enum class ConfigurationField {
    VERSION,
    NAME,
    HOST,
    PREFIX,
    SERVICE,
    WEIGHT,
    ATTEMPTS,
    TIMEOUT,
    TARGET_LATENCY,
    TARGET_GAP,
    PRIORITY,
    COLD_TIME,
    COLD_RATE,
    LOADS_AT_ONCE,
    MODELS,
    GROUP_SIZE,
    SHARE,
    KEYS,
    CONNECTIONS,
    SLOTS,
    HEADER_BYTES,
    BODY_BYTES,
    HEADER_TIMEOUT,
    IDLE_TIMEOUT,
}

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
