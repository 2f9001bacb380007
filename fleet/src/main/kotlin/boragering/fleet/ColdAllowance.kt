package boragering.fleet

/**
 * The number of requests that a cold instance may get within one second: [overrun] times the rate that it sustains and
 * [slack] more.
 */
data class ColdAllowance(val overrun: Double, val slack: Double) {
    /**
     * Returns the limit that keeps within the allowance for an instance that sustains [sustained] requests per second,
     * also while some gateways that have just started or are partitioned count themselves as holders by mistake.
     */
    fun limit(sustained: Double): RateLimit {
        val allowed = sustained * overrun + slack
        val burst = (allowed - sustained).coerceAtLeast(0.0)
        val holders = (burst * HOLDERS_OF_BURST).toInt().coerceAtLeast(1)
        return RateLimit(minOf(sustained, allowed - holders).coerceAtLeast(0.0), holders)
    }

    private companion object {
        /** Part of the burst for the known holders; the rest is for gateways with another view of the membership. */
        const val HOLDERS_OF_BURST = 0.6
    }
}
