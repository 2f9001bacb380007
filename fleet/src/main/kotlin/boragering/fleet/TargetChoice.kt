package boragering.fleet

import boragering.core.AvailabilityZone
import kotlin.random.Random
import kotlin.time.Duration

/** The result of [TargetChoice.choose]. */
sealed interface Choice {
    /** The request goes to [candidate], whose expected number of requests for each slot is [occupancy]. */
    data class Chosen(val candidate: Candidate, val occupancy: Double) : Choice

    /** Every target has reached its occupancy limit or the rate that it takes. */
    data object Full : Choice

    /** There is no target. */
    data object None : Choice
}

/**
 * What a [TargetChoice] knows of a request and of the deployment.
 *
 * @property gateways number of gateways that serve the deployment.
 * @property now time of the choice, by the monotonic clock.
 * @property targetLatency time within which the request's first event or answer counts as on time.
 * @property repeated whether another target has failed the request.
 * @property targetGap longest pause between events within which a stream counts as on time; `null` for any pause.
 * @property zones what decides whether the request leaves the availability zone; `null` for a fixed cost of leaving.
 * @property occupancyLimit requests per slot at which a group gets no more requests like this one, unless repeated.
 */
data class ChoiceContext(
    val gateways: Int,
    val now: Duration,
    val targetLatency: Duration,
    val repeated: Boolean = false,
    val targetGap: Duration? = null,
    val zones: ZoneTerms? = null,
    val occupancyLimit: Double = TargetChoice.MAX_OCCUPANCY,
)

/**
 * Chooses the target for a request: the one with the lowest expected load that is not suspected.
 *
 * Answers the load of a demand above the capacity: groups of engines get only slightly more requests than they run
 * concurrently. Each further queued request delays all later ones beyond their target latency, while a caller that is
 * refused immediately can return when there is capacity. The load is the [LoadEstimate], raised by the time for which
 * a request of this gateway has been waiting at the target, since a later request will not be answered sooner.
 */
class TargetChoice(private val availabilityZone: AvailabilityZone, private val random: Random) {
    private val zoneChoice = ZoneChoice(availabilityZone, random)

    /** Chooses a target among [candidates]. */
    fun choose(candidates: List<Candidate>, context: ChoiceContext): Choice {
        val open = candidates.filter { !it.load.rateLimited }
        val healthy = open.filter { !it.load.suspected(context.now) }.ifEmpty { open }
        val occupancy = occupancies(healthy, context)
        val paces = PaceComparison(healthy)
        val loads = healthy.map {
            val expected = occupancy(it) + waitingLoad(it, context)
            CandidateLoad(it, expected, paces.factor(it), paces.tooLate(it, context.targetGap))
        }
        val limit = if (context.repeated) MAX_OCCUPANCY_FOR_REPEATED else context.occupancyLimit
        val usable = loads.filter { it.candidate.target.group == null || it.occupancy < limit * limitFraction(it) }
        val narrowed = context.zones?.let { zoneChoice.narrow(loads, usable, context, it) } ?: usable
        val chosen = narrowed.minByOrNull(::cost)
        return when {
            chosen != null -> Choice.Chosen(chosen.candidate, chosen.occupancy)
            candidates.isEmpty() -> Choice.None
            else -> Choice.Full
        }
    }

    /** The fraction of the occupancy limit up to which a target is filled. */
    private fun limitFraction(load: CandidateLoad): Double =
        maxOf(SLOW_GROUP_LIMIT_FRACTION, 1 / load.candidate.target.slowdown)

    private fun occupancies(candidates: List<Candidate>, context: ChoiceContext): (Candidate) -> Double {
        val zones = context.zones ?: return LoadEstimate(candidates, context.gateways, context.now)::occupancy
        return ZoneEstimates(candidates, context, availabilityZone, zones)::occupancy
    }

    private fun waitingLoad(candidate: Candidate, context: ChoiceContext): Double {
        val since = candidate.load.awaitingSince
        if (since == null || candidate.target.group == null) return 0.0
        return (context.now - since) / context.targetLatency * OCCUPANCY_PER_TARGET_LATENCY
    }

    private fun cost(load: CandidateLoad): Double {
        val sameZone = load.candidate.target.availabilityZone == availabilityZone
        val distance = if (sameZone) 0.0 else CROSS_ZONE_COST
        return load.comparedOccupancy + distance + random.nextDouble() * TIE_BREAK
    }

    /** Limits and weights of the choice. */
    companion object {
        /** Requests per slot at which a group gets no more new requests. */
        const val MAX_OCCUPANCY = 1.1

        /** Requests per slot at which a group gets no more requests that another target has failed. */
        private const val MAX_OCCUPANCY_FOR_REPEATED = 2.0

        /** A slower group also reads prompts more slowly, so that the first events come late before it is full. */
        private const val SLOW_GROUP_LIMIT_FRACTION = 0.6

        /** Occupancy that counts for a request that has been waiting for its whole target latency. */
        private const val OCCUPANCY_PER_TARGET_LATENCY = 0.5

        /** Occupancy added to targets in other availability zones. */
        private const val CROSS_ZONE_COST = 0.05
        private const val TIE_BREAK = 0.02
    }
}
