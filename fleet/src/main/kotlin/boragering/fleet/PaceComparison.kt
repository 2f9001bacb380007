package boragering.fleet

import kotlin.time.Duration

/**
 * Compares the pace of each of [candidates], which serve the same service and model, with their median. The gaps of a
 * target that is slower by its composition are divided by its slowdown before.
 */
class PaceComparison(candidates: List<Candidate>) {
    private val usualGap: Duration?

    init {
        val known = candidates.mapNotNull { it.pace?.gap?.div(it.target.slowdown) }.sorted()
        // The lower median: of two slow targets and two usual ones, a usual one is the measure.
        usualGap = if (known.size < MIN_KNOWN) null else known[(known.size - 1) / 2]
    }

    /**
     * How much longer than usual the gaps of [candidate] are. The slowdown that is known in advance counts if nothing
     * is known of the target or the gaps seem shorter.
     */
    fun slowness(candidate: Candidate): Double {
        val slowdown = candidate.target.slowdown
        val pace = candidate.pace
        if (pace == null || usualGap == null || usualGap <= Duration.ZERO) return slowdown
        val factor = pace.gap / usualGap
        return if (factor < SLOW) slowdown else maxOf(factor, slowdown)
    }

    /** The [slowness] that counts for a choice: a target that is to be probed has the pace known in advance. */
    fun factor(candidate: Candidate): Double =
        if (candidate.pace?.probeDue == true) candidate.target.slowdown else slowness(candidate)

    /** Whether the events of [candidate] come later than [targetGap] allows while those of other targets do not. */
    fun tooLate(candidate: Candidate, targetGap: Duration?): Boolean {
        val gap = candidate.pace?.gap ?: usualGap?.times(candidate.target.slowdown)
        val slower = factor(candidate) > USUAL && (usualGap == null || usualGap <= (targetGap ?: usualGap))
        return targetGap != null && gap != null && slower && gap > targetGap
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
