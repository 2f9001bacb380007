package boragering.fleet

import boragering.core.AvailabilityZone
import kotlin.random.Random
import kotlin.time.Duration

/** What decides whether a request leaves its availability zone: the [delays] between zones and the [spillover]. */
class ZoneTerms(val delays: ZoneDelays, val spillover: ZoneSpillover)

/**
 * Chooses the availability zone of a request that may leave [own].
 *
 * A request leaves without limit if no target of its zone is free, and otherwise as often as the [ZoneSpillover]
 * allows. It then picks among the zones in which it starts sooner, in proportion to their free slots.
 */
internal class ZoneChoice(private val own: AvailabilityZone, private val random: Random) {
    /** The targets of one zone and the time that a request needs to start there. */
    private class ZoneLoad(val targets: List<CandidateLoad>, wait: Duration, val roundTrip: Duration) {
        val startTime = wait + roundTrip
        val occupancy get() = SlotWait.occupancy(targets)
        val name = targets.first().candidate.target.availabilityZone
        val freeSlots = targets.sumOf { it.freeSlots }
    }

    /**
     * Returns those of [usable] among which a request may choose. [loads] are all targets that count for the load of
     * the zones, the full ones included.
     */
    fun narrow(
        loads: List<CandidateLoad>,
        usable: List<CandidateLoad>,
        context: ChoiceContext,
        terms: ZoneTerms,
    ): List<CandidateLoad> {
        val zones = zoneLoads(loads, context, terms.delays)
        val home = zones[own]
        val away = zones.filterKeys { it != own }.values.filter { it.freeSlots > 0 }
        val sooner = away.filter { home == null || it.startTime < home.startTime }
        if (!context.repeated && home != null) update(home, away, context, terms.spillover)
        val free = usable.filter { it.free }
        return when {
            home == null || home.freeSlots <= 0 -> free.ifEmpty { usable }.let { inZone(pick(away), it) }
            sooner.isEmpty() || random.nextDouble() >= terms.spillover.fraction(context.now) -> inZone(home, usable)
            else -> inZone(pick(sooner), free)
        }
    }

    private fun zoneLoads(loads: List<CandidateLoad>, context: ChoiceContext, delays: ZoneDelays) =
        loads.groupBy { it.zone }.mapValues { (zone, targets) ->
            ZoneLoad(targets, SlotWait.of(targets, context.targetLatency), delays.roundTrip(own, zone))
        }

    /** Compares the own zone with the best other zone that has room. */
    private fun update(home: ZoneLoad, away: List<ZoneLoad>, context: ChoiceContext, spillover: ZoneSpillover) {
        val best = away.minOfOrNull { it.startTime }
        val saved = if (best == null) -context.targetLatency else home.startTime - best
        spillover.update(home.occupancy, saved, context.targetLatency * TOLERANCE, context.now)
    }

    /** Picks a zone in proportion to the free slots, and in inverse proportion to the round trip; `null` if none. */
    private fun pick(zones: List<ZoneLoad>): ZoneLoad? {
        val nearest = zones.minOfOrNull { it.roundTrip } ?: return null
        val weights = zones.map { it.freeSlots * if (it.roundTrip > nearest) nearest / it.roundTrip else 1.0 }
        var point = random.nextDouble() * weights.sum()
        val index = weights.indexOfFirst { weight ->
            point -= weight
            point < 0
        }
        return zones[index.coerceAtLeast(0)]
    }

    private fun inZone(zone: ZoneLoad?, usable: List<CandidateLoad>): List<CandidateLoad> =
        if (zone == null) usable else usable.filter { it.zone == zone.name }.ifEmpty { usable }

    private val CandidateLoad.zone: AvailabilityZone get() = candidate.target.availabilityZone

    private companion object {
        /**
         * Part of the target latency that a request has to save to leave its zone while there is room. It stands for
         * the cost of the bytes, whose price the configuration does not state.
         */
        const val TOLERANCE = 0.05
    }
}
