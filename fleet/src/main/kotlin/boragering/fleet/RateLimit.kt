package boragering.fleet

/**
 * A limit for the requests that all gateways together send to one target.
 *
 * @property perSecond requests per second.
 * @property maxHolders number of gateways that may share the limit. Each of them may send one request at any time, so
 * the target can get [perSecond] + [maxHolders] requests within one second.
 */
data class RateLimit(val perSecond: Double, val maxHolders: Int) {
    /** The stricter one of this limit and [other]. */
    fun and(other: RateLimit?): RateLimit =
        if (other == null) this else RateLimit(minOf(perSecond, other.perSecond), minOf(maxHolders, other.maxHolders))
}
