package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Estimates at [now], a time of the monotonic clock, how many requests each of [candidates] has in progress.
 *
 * A gateway knows its own requests exactly and those of the other [gateways] only from the targets' reports, which
 * arrive with responses. The weight of a report decays with its age. What a target's own report no longer tells is
 * replaced by the mean of the recent reports about all candidates: under a peak of demand, the targets that have become
 * slow report least, and counting only this gateway's requests there would make them look free. Without reports, each
 * candidate is expected to have [expectedOthers] requests of other gateways or, if that is `null`, as many of each
 * other gateway as of this one.
 */
class LoadEstimate(
    candidates: List<Candidate>,
    gateways: Int,
    private val now: Duration,
    expectedOthers: Double? = null,
) {
    private val meanOfOthers: Double

    init {
        val ownMean = candidates.sumOf { it.load.ownInFlight } / candidates.size.coerceAtLeast(1).toDouble()
        val expected = expectedOthers ?: ownMean * (gateways - 1).coerceAtLeast(0)
        var weights = EXPECTATION_WEIGHT
        var others = EXPECTATION_WEIGHT * expected
        for (candidate in candidates) {
            val report = candidate.load.report ?: continue
            val weight = weight(report)
            weights += weight
            others += weight * report.others
        }
        meanOfOthers = others / weights
    }

    /** Expected number of requests in progress at [candidate]. */
    fun requests(candidate: Candidate): Double {
        val report = candidate.load.report ?: return candidate.load.ownInFlight + meanOfOthers
        val weight = weight(report)
        return candidate.load.ownInFlight + weight * report.others + (1 - weight) * meanOfOthers
    }

    /** Expected number of requests in progress at [candidate] for each of its slots. */
    fun occupancy(candidate: Candidate): Double = requests(candidate) / candidate.target.slots.coerceAtLeast(1)

    private fun weight(report: LoadReport): Double = REPORT_DECAY.weight(now - report.at)

    private companion object {
        /** Age at which a report has lost all but 1/e of its weight; about the duration of a request. */
        val REPORT_DECAY = ExponentialDecay(memory = 1.seconds)

        /** Weight, in fresh reports, of the expectation that all gateways have as many requests as this one. */
        const val EXPECTATION_WEIGHT = 0.5
    }
}
