package boragering.fleet

import boragering.core.AvailabilityZone
import kotlin.math.exp
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A gateway's view of the load of one target.
 *
 * @property ownInFlight requests of this gateway in progress at the target.
 * @property report the last load report of the target.
 * @property suspectUntil until when the target counts as failed, by the monotonic clock.
 * @property identityMismatchUntil until when the target counts as ended, by the monotonic clock, because it answered
 * that it is not the intended target.
 */
data class TargetLoad(
    val ownInFlight: Int = 0,
    val report: LoadReport? = null,
    val suspectUntil: Duration? = null,
    val identityMismatchUntil: Duration? = null,
) {
    /** Whether the target counts as failed or ended at [now]. */
    fun suspected(now: Duration): Boolean =
        suspectUntil != null && now < suspectUntil || identityMismatchUntil != null && now < identityMismatchUntil
}

/**
 * The running and waiting requests that a target reported [at] a time of the monotonic clock.
 *
 * @property ownInFlight requests of this gateway that were in progress at the target when the report arrived.
 */
data class LoadReport(val running: Int, val waiting: Int, val ownInFlight: Int, val at: Duration)

/** A target that may be chosen, and its load. */
data class Candidate(val target: Target, val load: TargetLoad)

/** The result of [TargetChoice.choose]. */
sealed interface Choice {
    /** The request goes to [candidate]. */
    data class Chosen(val candidate: Candidate) : Choice

    /** Every target has reached its occupancy limit. */
    data object Full : Choice

    /** There is no target. */
    data object None : Choice
}

/**
 * Chooses the least loaded target that is not suspected. The load combines this gateway's own requests with the
 * target's last report about the requests of other gateways, because each gateway sees only its own requests.
 *
 * Groups of engines get only slightly more requests than they run concurrently. Each further queued request delays all
 * later ones, while a caller that is refused immediately can retry when there is capacity.
 */
class TargetChoice(private val availabilityZone: AvailabilityZone, private val random: Random) {
    /**
     * Chooses the target for a request at [now], a time of the monotonic clock. A [retry], which another target has
     * failed, has priority over new requests: its occupancy limit is higher.
     */
    fun choose(candidates: List<Candidate>, gateways: Int, now: Duration, retry: Boolean = false): Choice {
        val limit = if (retry) MAX_OCCUPANCY_FOR_RETRIES else MAX_OCCUPANCY
        val healthy = candidates.filter { !it.load.suspected(now) }.ifEmpty { candidates }
        val available = healthy.filter { !full(it, gateways, now, limit) }
        val chosen = available.map { it to cost(it, gateways, now) + random.nextDouble() * TIE_BREAK }
            .minByOrNull { (_, cost) -> cost }
        return when {
            chosen != null -> Choice.Chosen(chosen.first)
            candidates.isEmpty() -> Choice.None
            else -> Choice.Full
        }
    }

    /** Expected number of requests at [candidate] for each of its slots. */
    fun occupancy(candidate: Candidate, gateways: Int, now: Duration): Double =
        (candidate.load.ownInFlight + estimatedOtherRequests(candidate.load, gateways, now)) /
            candidate.target.slots.coerceAtLeast(1)

    private fun full(candidate: Candidate, gateways: Int, now: Duration, limit: Double): Boolean {
        val report = candidate.load.report
        val recent = report != null && now - report.at < REPORT_VALIDITY
        return candidate.target.group != null && recent && occupancy(candidate, gateways, now) >= limit
    }

    private fun cost(candidate: Candidate, gateways: Int, now: Duration): Double {
        val sameZone = candidate.target.availabilityZone == availabilityZone
        return occupancy(candidate, gateways, now) + if (sameZone) 0.0 else CROSS_ZONE_COST
    }

    /**
     * The weight of a report decays with its age. Without a report, the other gateways are assumed to have as many
     * requests at the target as this one.
     */
    private fun estimatedOtherRequests(load: TargetLoad, gateways: Int, now: Duration): Double {
        val estimate = load.ownInFlight * (gateways - 1.0).coerceAtLeast(0.0)
        val report = load.report ?: return estimate
        val weight = exp(-((now - report.at) / REPORT_MEMORY).coerceAtLeast(0.0))
        val reportedByOthers = (report.running + report.waiting - report.ownInFlight).coerceAtLeast(0)
        return weight * reportedByOthers + (1 - weight) * estimate
    }

    private companion object {
        val REPORT_MEMORY = 500.milliseconds

        /** Age up to which a report is a reason to refuse requests. */
        val REPORT_VALIDITY = 500.milliseconds

        /** Requests per slot at which a group gets no more new requests. */
        const val MAX_OCCUPANCY = 1.15

        /** Requests per slot at which a group gets no more retries. */
        const val MAX_OCCUPANCY_FOR_RETRIES = 2.0

        /** Occupancy added to targets in other availability zones. */
        const val CROSS_ZONE_COST = 0.05
        const val TIE_BREAK = 0.02
    }
}
