package boragering.core.requests

import boragering.core.Candidate
import boragering.core.GroupId
import kotlin.math.ceil
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The targets of one entry with this daemon's knowledge of their load. Not safe for several threads. */
internal class EntryTargets(private val selector: ReplicaSelector, private val confineLong: Boolean) {
    private val loads = HashMap<GroupId, TargetLoad>()
    private var candidates: List<Candidate> = emptyList()

    /** Whether there is any target. */
    val present: Boolean get() = candidates.isNotEmpty()

    /** Takes the targets that may get requests now. */
    fun update(present: List<Candidate>, now: Duration) {
        candidates = present
        present.forEach { loads.getOrPut(it.group) { TargetLoad(now) } }
        if (loads.size > present.size) {
            val groups = present.mapTo(HashSet()) { it.group }
            loads.entries.removeAll { (group, load) -> group !in groups && load.inFlight == 0 }
        }
    }

    /**
     * A target with room for a request, preferring those that are not in [avoid]. Long requests get at most [longShare]
     * of each target's slots and of all slots together.
     */
    fun place(long: Boolean, longShare: Double, avoid: Set<GroupId>, now: Duration): Candidate? {
        val free = free(long, longShare, now).ifEmpty {
            candidates.filter { candidate ->
                val load = loads.getValue(candidate.group)
                !long && load.ejectedUntil <= now && load.mayProbe(candidate, now)
            }
        }
        val preferred = free.filter { it.group !in avoid }.ifEmpty { free }
        return selector.select(views(preferred, now))?.candidate
    }

    /** The targets with room for a request. */
    fun free(long: Boolean, longShare: Double, now: Duration): List<Candidate> =
        if (long && longBlocked(longShare)) {
            emptyList()
        } else {
            candidates.filter { candidate ->
                val load = loads.getValue(candidate.group)
                load.ejectedUntil <= now && load.free(candidate, now) > 0 &&
                    (!long || !confineLong || load.longInFlight < maxOf(1, ceil(candidate.slots * longShare).toInt()))
            }
        }

    /** Whether long requests have used up their share, so that they wait apart from short ones. */
    fun longBlocked(longShare: Double): Boolean = confineLong &&
        loads.values.sumOf { it.longInFlight } >= maxOf(1, (longShare * candidates.sumOf { it.slots }).roundToInt())

    /** Counts a request that starts on [candidate]. */
    fun started(candidate: Candidate, long: Boolean, now: Duration) {
        val load = loads.getOrPut(candidate.group) { TargetLoad(now) }
        load.started(now)
        if (long) load.longInFlight++
    }

    /** A running request turned out to be long. */
    fun becameLong(candidate: Candidate) {
        loads.getValue(candidate.group).longInFlight++
    }

    /** Counts the end of a request. Returns whether the target was ejected because of it. */
    fun ended(candidate: Candidate, long: Boolean, end: AttemptEnd, now: Duration): Boolean {
        val load = loads.getValue(candidate.group)
        if (end is AttemptEnd.NoCapacity) load.refused(candidate.slots, now)
        load.ended(now)
        if (long) load.longInFlight--
        if (end is AttemptEnd.Succeeded) load.succeeded(end.firstPart)
        if (end is AttemptEnd.TargetFailed) load.failed()
        val slow = TargetLatencies.slow(load.latency, typicalLatency())
        val eject = (load.failing || slow) && mayEject(now) && load.ejectedUntil <= now
        if (eject) load.eject(now)
        return eject
    }

    private fun views(of: List<Candidate>, now: Duration): List<TargetView> {
        val typical = typicalLatency()
        return of.map { candidate ->
            val load = loads.getValue(candidate.group)
            TargetView(
                candidate = candidate,
                inFlight = load.inFlight,
                free = load.free(candidate, now),
                load = load.load(candidate, now),
                latencyRatio = TargetLatencies.ratio(load.latency, typical),
            )
        }
    }

    private fun typicalLatency(): Duration? =
        TargetLatencies.typical(candidates.mapNotNull { loads[it.group]?.latency })

    private fun mayEject(now: Duration): Boolean {
        val ejected = candidates.count { (loads[it.group]?.ejectedUntil ?: Duration.ZERO) > now }
        return (ejected + 1) * MAXIMUM_EJECTED_PART <= candidates.size
    }

    private companion object {
        /** At most one in this many targets is ejected: the others must be able to carry the load. */
        const val MAXIMUM_EJECTED_PART = 3
    }
}

/** Compares the recent latencies of an entry's targets. */
internal object TargetLatencies {
    private const val SLOW_RATIO = 3.0
    private const val LOWEST_RATIO = 0.25
    private const val HIGHEST_RATIO = 4.0

    /** Differences between latencies of a few milliseconds are noise. */
    private val FLOOR = 20.milliseconds

    /** The median of the known latencies. */
    fun typical(known: List<Duration>): Duration? = known.sorted().getOrNull((known.size - 1) / 2)

    /** A target's latency relative to the typical one, within bounds; 1 while either is unknown. */
    fun ratio(latency: Duration?, typical: Duration?): Double =
        if (latency == null || typical == null) {
            1.0
        } else {
            ((latency + FLOOR) / (typical + FLOOR)).coerceIn(LOWEST_RATIO, HIGHEST_RATIO)
        }

    /** Whether a target is so slow that it should be ejected. */
    fun slow(latency: Duration?, typical: Duration?): Boolean =
        latency != null && typical != null && latency > (typical + FLOOR) * SLOW_RATIO
}

/** How an attempt ended, as far as its target is concerned. */
internal sealed interface AttemptEnd {
    /** A whole answer came; [firstPart] is the time to its first part, [length] its length (see [RequestLengths]). */
    data class Succeeded(val firstPart: Duration, val length: Int, val duration: Duration) : AttemptEnd

    /** The target refused the request for lack of capacity. */
    data object NoCapacity : AttemptEnd

    /** The target could not be reached, broke off, or took too long. */
    data object TargetFailed : AttemptEnd

    /** The attempt says nothing about the target, for example because the caller went away. */
    data object Neutral : AttemptEnd
}
