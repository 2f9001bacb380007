package boragering.measurements

/** One subcommand. */
fun interface Measurement {
    /** Runs all measurements of the subcommand. */
    fun run(probe: Probe): List<Series>
}
