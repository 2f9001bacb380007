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
 * @property occupancyLimit requests per slot at which a group gets no more requests like this one, unless repeated.
 */
data class ChoiceContext(
    val gateways: Int,
    val now: Duration,
    val targetLatency: Duration,
    val repeated: Boolean = false,
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
    /** Chooses a target among [candidates]. */
    fun choose(candidates: List<Candidate>, context: ChoiceContext): Choice {
        val open = candidates.filter { !it.load.rateLimited }
        val healthy = open.filter { !it.load.suspected(context.now) }.ifEmpty { open }
        val estimate = LoadEstimate(healthy, context.gateways, context.now)
        val loads = healthy.map { CandidateLoad(it, estimate.occupancy(it) + waitingLoad(it, context)) }
        val limit = if (context.repeated) MAX_OCCUPANCY_FOR_REPEATED else context.occupancyLimit
        val chosen = loads.filter { it.candidate.target.group == null || it.occupancy < limit }.minByOrNull(::cost)
        return when {
            chosen != null -> Choice.Chosen(chosen.candidate, chosen.occupancy)
            candidates.isEmpty() -> Choice.None
            else -> Choice.Full
        }
    }

    private class CandidateLoad(val candidate: Candidate, val occupancy: Double)

    private fun waitingLoad(candidate: Candidate, context: ChoiceContext): Double {
        val since = candidate.load.awaitingSince
        if (since == null || candidate.target.group == null) return 0.0
        return (context.now - since) / context.targetLatency * OCCUPANCY_PER_TARGET_LATENCY
    }

    private fun cost(load: CandidateLoad): Double {
        val sameZone = load.candidate.target.availabilityZone == availabilityZone
        val distance = if (sameZone) 0.0 else CROSS_ZONE_COST
        return load.occupancy + distance + random.nextDouble() * TIE_BREAK
    }

    /** Limits and weights of the choice. */
    companion object {
        /** Requests per slot at which a group gets no more new requests. */
        const val MAX_OCCUPANCY = 1.1

        /** Requests per slot at which a group gets no more requests that another target has failed. */
        private const val MAX_OCCUPANCY_FOR_REPEATED = 2.0

        /** Occupancy that counts for a request that has been waiting for its whole target latency. */
        private const val OCCUPANCY_PER_TARGET_LATENCY = 0.5

        /** Occupancy added to targets in other availability zones. */
        private const val CROSS_ZONE_COST = 0.05
        private const val TIE_BREAK = 0.02
    }
}
