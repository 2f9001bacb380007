package boragering.fleet

import kotlin.math.pow
import kotlin.math.sqrt
import kotlin.time.Duration

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

/** The time by which the load of a set of targets is expected to delay the first event of a request. */
internal object SlotWait {
    /**
     * The expected delay at [targets], in a service whose routes have [targetLatency].
     *
     * A request waits for a free slot as in Sakasegawa's approximation for M/M/c queues: more slots can be fuller
     * before one waits. Once it has a slot, the prompts and answers of other requests slow its own prompt down.
     */
    fun of(targets: List<CandidateLoad>, targetLatency: Duration): Duration {
        val slots = targets.sumOf { it.slots / it.pace }
        if (slots <= 0) return Duration.INFINITE
        val occupancy = occupancy(targets).coerceIn(0.0, MAX_MODELLED_OCCUPANCY)
        val queued = occupancy.pow(sqrt(2 * (slots + 1)) - 1) / (1 - occupancy)
        return targetLatency * (SLOT_TIME * queued / slots + PROMPT_CONTENTION * occupancy)
    }

    /** The mean occupancy of [targets], a slow target counting as if it had fewer slots. */
    fun occupancy(targets: List<CandidateLoad>): Double =
        targets.sumOf { it.slots * it.occupancy / it.pace } / targets.sumOf { it.slots / it.pace }

    /**
     * Time for which a request has its slot, in target latencies: an answer of some 200 tokens takes about a second,
     * its first event a quarter of that.
     */
    private const val SLOT_TIME = 4.0

    /**
     * Delay of a request by others that fill all slots, in target latencies: the prompts that are read beside its own
     * need about a tenth of the target latency each.
     */
    private const val PROMPT_CONTENTION = 0.25

    /** The approximation has no value at 1. */
    private const val MAX_MODELLED_OCCUPANCY = 0.99
}
