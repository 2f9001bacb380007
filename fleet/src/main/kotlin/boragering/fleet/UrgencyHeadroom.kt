package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits how far requests of a higher rank fill the targets of one service and model while those of a lower rank lack
 * capacity. The rank is the urgency, 0 first, and within it whether the organisation has had more than its share. The
 * reserve grows while the shortage lasts and shrinks after it, because the capacity that the requests of the lower rank
 * need is not known in advance. Times are of the monotonic clock. Not thread-safe.
 */
class UrgencyHeadroom {
    private val shortages = RecentMap<Int, Shortage>(MAX_RANKS)

    private class Shortage {
        private var reserve = 0.0
        private var raisedAt = -RAISE_INTERVAL
        var ownUntil = Duration.ZERO
        var until = Duration.ZERO

        fun record(now: Duration, memory: Duration) {
            if (now - raisedAt >= RAISE_INTERVAL) {
                reserve = (reserveAt(now) + RAISE).coerceAtMost(MAX_RESERVE)
                raisedAt = now
            }
            until = maxOf(until, now + memory)
        }

        fun reserveAt(now: Duration): Double {
            val recovered = (now - until).coerceAtLeast(Duration.ZERO) / 1.seconds
            return (reserve - recovered * RECOVERY_PER_SECOND).coerceAtLeast(0.0)
        }
    }

    /** Records that a request of [rank] found no capacity at [now]. */
    fun recordShortage(rank: Int, now: Duration) {
        val shortage = of(rank)
        shortage.record(now, SHORTAGE_MEMORY)
        shortage.ownUntil = now + SHORTAGE_MEMORY
    }

    /** Records that another gateway reported at [now] that requests of [rank] found no capacity there. */
    fun recordPeerShortage(rank: Int, now: Duration) = of(rank).record(now, PEER_SHORTAGE_MEMORY)

    /**
     * The lowest rank that has been short of capacity at this gateway during the last second; `null` if none has. What
     * other gateways report is left out, because gateways that repeat it to each other would never end it.
     */
    fun lowestShortage(now: Duration): Int? =
        shortages.keys.filter { checkNotNull(shortages[it]).ownUntil > now }.minOrNull()

    /** Whether requests of any rank have been short of capacity lately, here or at a gateway that reported it. */
    fun short(now: Duration): Boolean = shortages.values.any { it.until > now }

    /** The occupancy up to which requests of [rank] fill a target at [now]. */
    fun limit(rank: Int, now: Duration): Double {
        val reserve = shortages.keys.filter { it < rank }.maxOfOrNull { checkNotNull(shortages[it]).reserveAt(now) }
        return TargetChoice.MAX_OCCUPANCY - (reserve ?: 0.0)
    }

    private fun of(rank: Int) = shortages.getOrPut(rank) { Shortage() }

    private companion object {
        const val MAX_RANKS = 32
        val SHORTAGE_MEMORY = 1.seconds

        /** Gateways report every 2 s. */
        val PEER_SHORTAGE_MEMORY = 2.5.seconds

        /** Time in which a lower limit shows in the load of the targets, so that the reserve grows in steps. */
        val RAISE_INTERVAL = 100.milliseconds

        /** Requests per slot by which the reserve grows in each step. */
        const val RAISE = 0.05

        /** Requests per slot beyond which the reserve does not grow, so that other requests are never shut out. */
        const val MAX_RESERVE = 0.4

        /** Requests per slot by which the reserve shrinks per second once the shortage is over. */
        const val RECOVERY_PER_SECOND = 0.2
    }
}
