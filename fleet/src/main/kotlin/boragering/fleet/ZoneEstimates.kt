package boragering.fleet

import boragering.core.AvailabilityZone

/**
 * Estimates the load of each of [candidates] from the reports of its own availability zone.
 *
 * A gateway that keeps its requests in the zone [own] has no reports of the other zones, and their load is another than
 * that of its own zone when the demand swings at different times. Without reports, a target in another zone is expected
 * to have the occupancy that the own zone usually has.
 */
internal class ZoneEstimates(
    candidates: List<Candidate>,
    context: ChoiceContext,
    own: AvailabilityZone,
    terms: ZoneTerms,
) {
    private val estimates = candidates.groupBy { it.target.availabilityZone }.let { zones ->
        val ownGateways = (context.gateways / zones.size.coerceAtLeast(1)).coerceAtLeast(1)
        zones.mapValues { (zone, targets) ->
            val slots = targets.first().target.slots
            val expected = terms.spillover.usualOccupancy?.let { it * slots }?.takeIf { zone != own }
            LoadEstimate(targets, ownGateways, context.now, expected)
        }
    }

    /** Expected number of requests in progress at [candidate] for each of its slots. */
    fun occupancy(candidate: Candidate): Double =
        estimates.getValue(candidate.target.availabilityZone).occupancy(candidate)
}
