package boragering.fleet

import boragering.core.AvailabilityZone
import kotlinx.collections.immutable.PersistentMap
import kotlin.time.Duration

/**
 * The one-way delays between availability zones: [oneWay] maps a source zone to the delays to other zones. A direction
 * that is not listed has the delay of the opposite direction.
 */
data class ZoneDelays(val oneWay: PersistentMap<AvailabilityZone, PersistentMap<AvailabilityZone, Duration>>) {
    private val longest = oneWay.values.flatMap { it.values }.maxOrNull() ?: Duration.ZERO

    /** The round-trip delay between [from] and [to]; twice the longest known delay if none is listed for them. */
    fun roundTrip(from: AvailabilityZone, to: AvailabilityZone): Duration {
        if (from == to) return Duration.ZERO
        val there = oneWay[from]?.get(to)
        val back = oneWay[to]?.get(from)
        return (there ?: back ?: longest) + (back ?: there ?: longest)
    }

    /**
     * Whether leaving [zone] costs a caller with [targetLatency] a noticeable time. Where the longest round trip is
     * below one hundredth of the target latency, it is not worth a decision of its own.
     */
    fun isSignificant(zone: AvailabilityZone, targetLatency: Duration): Boolean {
        val others = oneWay.keys + oneWay.values.flatMap { it.keys }
        return others.any { roundTrip(zone, it) * NOTICEABLE_SHARE >= targetLatency }
    }

    private companion object {
        const val NOTICEABLE_SHARE = 100
    }
}
