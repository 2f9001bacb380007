package boragering.fleet

/** Counts how often a value changes its direction, ignoring changes smaller than [threshold]. */
internal class ReversalCounter(private val threshold: Double = 0.15) {
    private var extreme = 0.0
    private var rising = true

    var reversals = 0
        private set

    fun record(value: Double) {
        val ahead = if (rising) value - extreme else extreme - value
        if (ahead >= 0) {
            extreme = value
        } else if (-ahead >= threshold) {
            rising = !rising
            extreme = value
            reversals += 1
        }
    }
}
