package boragering.core.requests

import boragering.core.Candidate
import boragering.core.GroupId
import kotlin.math.ceil
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The targets of one entry and this daemon's view of their load. Not thread-safe. */
internal class EntryTargets(private val selector: ReplicaSelector, private val confineLong: Boolean) {
    private val loads = HashMap<GroupId, TargetLoad>()
    private var candidates: List<Candidate> = emptyList()

    /** Whether there is any target. */
    val hasTargets: Boolean get() = candidates.isNotEmpty()

    /** Replaces the list of targets that may receive requests. */
    fun update(present: List<Candidate>, now: Duration) {
        candidates = present
        present.forEach { loads.getOrPut(it.group) { TargetLoad(now) } }
        if (loads.size > present.size) {
            val groups = present.mapTo(HashSet()) { it.group }
            loads.entries.removeAll { (group, load) -> group !in groups && load.inFlight == 0 }
        }
    }

    /**
     * Selects a target with a free slot, preferably one that is not in [avoidedGroups]. If no target has one, a short
     * request may probe a target that is reported as full. Long requests get at most [longShare] of the slots of
     * each target and of all slots together.
     */
    fun selectTarget(long: Boolean, longShare: Double, avoidedGroups: Set<GroupId>, now: Duration): Candidate? {
        val free = targetsWithFreeSlots(long, longShare, now).ifEmpty {
            candidates.filter { candidate ->
                val load = loads.getValue(candidate.group)
                !long && load.ejectedUntil <= now && load.mayProbe(candidate, now)
            }
        }
        val preferred = free.filter { it.group !in avoidedGroups }.ifEmpty { free }
        return selector.select(targetViews(preferred, now))?.candidate
    }

    /** The targets with a free slot for a request. */
    fun targetsWithFreeSlots(long: Boolean, longShare: Double, now: Duration): List<Candidate> =
        if (long && longShareExhausted(longShare)) {
            emptyList()
        } else {
            candidates.filter { candidate ->
                val load = loads.getValue(candidate.group)
                load.ejectedUntil <= now && load.freeSlots(candidate, now) > 0 &&
                    (!long || !confineLong || load.longInFlight < maxOf(1, ceil(candidate.slots * longShare).toInt()))
            }
        }

    /**
     * Whether long requests have used up their share of the slots. While they have, they wait separately from short
     * ones.
     */
    fun longShareExhausted(longShare: Double): Boolean = confineLong &&
        loads.values.sumOf { it.longInFlight } >= maxOf(1, (longShare * candidates.sumOf { it.slots }).roundToInt())

    /** Records the start of a request on [candidate]. */
    fun recordStart(candidate: Candidate, long: Boolean, now: Duration) {
        val load = loads.getOrPut(candidate.group) { TargetLoad(now) }
        load.recordStart(now)
        if (long) load.longInFlight++
    }

    /** Records that a running request on [candidate] was reclassified as long. */
    fun recordBecameLong(candidate: Candidate) {
        loads.getValue(candidate.group).longInFlight++
    }

    /** Records the end of a request. Returns whether its target was ejected because of it. */
    fun recordEnd(candidate: Candidate, long: Boolean, end: AttemptEnd, now: Duration): Boolean {
        val load = loads.getValue(candidate.group)
        if (end is AttemptEnd.NoCapacity) load.recordRefusal(candidate.slots, now)
        load.recordEnd(now)
        if (long) load.longInFlight--
        if (end is AttemptEnd.Succeeded) load.recordSuccess(end.firstPart)
        if (end is AttemptEnd.TargetFailed) load.recordFailure()
        val slow = TargetLatencies.isSlow(load.latency, medianLatency())
        val eject = (load.failing || slow) && mayEject(now) && load.ejectedUntil <= now
        if (eject) load.eject(now)
        return eject
    }

    private fun targetViews(selected: List<Candidate>, now: Duration): List<TargetView> {
        val median = medianLatency()
        return selected.map { candidate ->
            val load = loads.getValue(candidate.group)
            TargetView(
                candidate = candidate,
                inFlight = load.inFlight,
                freeSlots = load.freeSlots(candidate, now),
                utilisation = load.utilisation(candidate, now),
                latencyRatio = TargetLatencies.relativeLatency(load.latency, median),
            )
        }
    }

    private fun medianLatency(): Duration? =
        TargetLatencies.median(candidates.mapNotNull { loads[it.group]?.latency })

    private fun mayEject(now: Duration): Boolean {
        val ejected = candidates.count { (loads[it.group]?.ejectedUntil ?: Duration.ZERO) > now }
        return (ejected + 1) * TARGETS_PER_EJECTION <= candidates.size
    }

    private companion object {
        /** At most one in this many targets is ejected, because the other targets must be able to carry the load. */
        const val TARGETS_PER_EJECTION = 3
    }
}

/** Compares the recent latencies of an entry's targets. */
internal object TargetLatencies {
    private const val SLOW_RATIO = 3.0
    private const val LOWEST_RATIO = 0.25
    private const val HIGHEST_RATIO = 4.0

    /** Added to latencies before they are compared, because differences of a few milliseconds are noise. */
    private val NOISE_MARGIN = 20.milliseconds

    /** The median of the known latencies, or `null` if none is known. */
    fun median(known: List<Duration>): Duration? = known.sorted().getOrNull((known.size - 1) / 2)

    /** The ratio of a target's latency to the median, within bounds. The ratio is 1 while either value is unknown. */
    fun relativeLatency(latency: Duration?, median: Duration?): Double =
        if (latency == null || median == null) {
            1.0
        } else {
            ((latency + NOISE_MARGIN) / (median + NOISE_MARGIN)).coerceIn(LOWEST_RATIO, HIGHEST_RATIO)
        }

    /** Whether a target is slow enough to be ejected. */
    fun isSlow(latency: Duration?, median: Duration?): Boolean =
        latency != null && median != null && latency > (median + NOISE_MARGIN) * SLOW_RATIO
}

/** The end of an attempt, from the point of view of its target. */
internal sealed interface AttemptEnd {
    /**
     * A complete answer arrived. [firstPart] is the time to its first part, and [length] its length (see
     * [RequestLengthPredictor]).
     */
    data class Succeeded(val firstPart: Duration, val length: Int, val duration: Duration) : AttemptEnd

    /** The target refused the request for lack of capacity. */
    data object NoCapacity : AttemptEnd

    /** The target failed: for example, the target could not be reached, broke off its answer, or took too long. */
    data object TargetFailed : AttemptEnd

    /** The attempt shows nothing about the target, for example because the caller disconnected. */
    data object Neutral : AttemptEnd
}
