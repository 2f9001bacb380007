package boragering.fleet

import kotlin.math.pow
import kotlin.math.sqrt
import kotlin.time.Duration

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
