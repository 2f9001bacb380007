package boragering.fleet

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
