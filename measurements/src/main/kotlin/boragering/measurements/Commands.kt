package boragering.measurements

/** The subcommands by name. */
object Commands {
    /** All subcommands. */
    val all: Map<String, Measurement> = linkedMapOf(
        "planning" to PlanningMeasurement(),
        "peers" to PeersMeasurement(),
        "catalogue" to CatalogueMeasurement(),
        "claims" to ClaimsMeasurement(),
        "requests" to RequestsMeasurement(),
        "memory" to MemoryMeasurement(),
        "gateway" to GatewayMeasurement(),
    )
}
