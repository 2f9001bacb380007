package boragering.measurements

/** The subcommands by name. */
object Commands {
    /** All subcommands. */
    val all: Map<String, Measurement> = linkedMapOf(
        "planning" to PlanningMeasurement(),
        "peers" to PeersMeasurement(),
    )
}
