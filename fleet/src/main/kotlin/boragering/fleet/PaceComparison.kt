package boragering.fleet

import kotlin.time.Duration

/** Compares the pace of each of [candidates], which serve the same service and model, with their median. */
class PaceComparison(candidates: List<Candidate>) {
    private val usualGap: Duration?

    init {
        val known = candidates.mapNotNull { it.pace?.gap }.sorted()
        // The lower median: of two slow targets and two usual ones, a usual one is the measure.
        usualGap = if (known.size < MIN_KNOWN) null else known[(known.size - 1) / 2]
    }

    /** How much longer than usual the gaps of [candidate] are; the usual pace if nothing is known of the target. */
    fun slowness(candidate: Candidate): Double {
        val pace = candidate.pace
        if (pace == null || usualGap == null || usualGap <= Duration.ZERO) return USUAL
        val factor = pace.gap / usualGap
        return if (factor < SLOW) USUAL else factor
    }

    /** The [slowness] that counts for a choice: a target that is to be probed has the usual pace. */
    fun factor(candidate: Candidate): Double =
        if (candidate.pace?.probeDue == true) USUAL else slowness(candidate)

    /** Whether the events of [candidate] come later than [targetGap] allows while those of other targets do not. */
    fun tooLate(candidate: Candidate, targetGap: Duration?): Boolean {
        val pace = candidate.pace
        return targetGap != null && pace != null && factor(candidate) > USUAL && pace.gap > targetGap
    }

    /** The pace of most targets. */
    companion object {
        /** The factor of a target with the usual pace. */
        const val USUAL = 1.0

        /** Factor below which longer gaps may come from other prompts that the target reads between its events. */
        private const val SLOW = 2.0
        private const val MIN_KNOWN = 3
    }
}
