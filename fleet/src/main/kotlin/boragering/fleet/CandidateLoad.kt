package boragering.fleet

/**
 * A candidate of one choice.
 *
 * @property occupancy expected requests per slot, raised by the time for which a request has been waiting there.
 * @property pace how much longer than usual the pauses between the target's events are; 1 for the usual pace.
 * @property lastResort whether the target's events come too late for the route.
 */
internal class CandidateLoad(
    val candidate: Candidate,
    val occupancy: Double,
    val pace: Double = PaceComparison.USUAL,
    val lastResort: Boolean = false,
) {
    /** The occupancy that counts in comparisons: a target that is slower by some factor is fuller by that factor. */
    val comparedOccupancy: Double = occupancy * pace + if (lastResort) LAST_RESORT_COST else 0.0

    /** Whether a request would find a free slot and be answered in time. */
    val free: Boolean get() = !lastResort && occupancy < 1

    /** Slots that are expected to be free, those of a slow target in proportion to its pace. */
    val freeSlots: Double get() = if (free) slots * (1 - occupancy) / pace else 0.0

    val slots: Int get() = candidate.target.slots.coerceAtLeast(1)

    private companion object {
        /** Above every occupancy that a target can have. */
        const val LAST_RESORT_COST = 100.0
    }
}
