package boragering.core.requests

import boragering.core.Candidate
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** This daemon's requests on one target and what they showed about it. Not safe for several threads. */
internal class TargetLoad(now: Duration) {
    private val history = InFlightHistory(now)

    /** Requests of other daemons that a refusal showed at [refusedAt]; a newer report takes its place. */
    private var othersAtRefusal = 0
    private var refusedAt: Duration? = null
    private var failuresInRow = 0
    private var samples = 0
    private var ejections = 0

    /** This daemon's requests on the target. */
    var inFlight = 0
        private set

    /** Those of them that are long. */
    var longInFlight = 0

    /** Recent time to the first part of an answer; `null` before there are enough samples. */
    val latency: Duration? get() = averageLatency.takeIf { samples >= MINIMUM_SAMPLES }
    private var averageLatency = Duration.ZERO

    /** Until when the target gets no requests because it is slow or failing. */
    var ejectedUntil = Duration.ZERO
        private set

    /** Whether the target failed often enough in a row to be ejected. */
    val failing: Boolean get() = failuresInRow >= FAILURES_TO_EJECT

    /** Requests that the target can take now, as far as this daemon knows. */
    fun freeSlots(candidate: Candidate, now: Duration): Int = candidate.slots - inFlight - otherRequests(candidate, now)

    /**
     * Whether one request may be tried although the report shows no room: a report that is wrong, or other daemons that
     * take each slot as it becomes free, must not keep this daemon off the target for ever.
     */
    fun mayProbe(candidate: Candidate, now: Duration): Boolean =
        inFlight == 0 && candidate.slots > 0 && (refusedAt ?: Duration.ZERO) <= now - candidate.reportAge

    /**
     * Estimated fraction of the target's slots in use. An old report counts less: a target that was loaded a while ago
     * is as good a choice as one of which nothing is known.
     */
    fun utilisation(candidate: Candidate, now: Duration): Double {
        val discountedOthers = otherRequests(candidate, now) * HALF.pow(candidate.reportAge / REPORT_HALF_LIFE)
        return (inFlight + discountedOthers) / candidate.slots.coerceAtLeast(1)
    }

    /** The requests on the target that this daemon did not send, by the last report or refusal. */
    private fun otherRequests(candidate: Candidate, now: Duration): Int {
        val reportedAt = now - candidate.reportAge
        val reported = candidate.running + candidate.queued - history.countBefore(reportedAt)
        val refused = refusedAt
        return (if (refused != null && refused > reportedAt) othersAtRefusal else reported).coerceAtLeast(0)
    }

    fun recordStart(now: Duration) {
        inFlight++
        history.record(now, inFlight)
    }

    fun recordEnd(now: Duration) {
        inFlight--
        history.record(now, inFlight)
    }

    /** An answer came whole; [firstPart] is how long its first part took. */
    fun recordSuccess(firstPart: Duration) {
        failuresInRow = 0
        samples++
        averageLatency = if (samples == 1) firstPart else averageLatency + (firstPart - averageLatency) * SAMPLE_WEIGHT
    }

    /** The target failed during a request. */
    fun recordFailure() {
        failuresInRow++
    }

    /** The target refused a request for lack of capacity: all its slots but those of this daemon are taken. */
    fun recordRefusal(slots: Int, now: Duration) {
        othersAtRefusal = slots - (inFlight - 1)
        refusedAt = now
    }

    /** Ejects the target; each further time it lasts longer. What was measured is forgotten. */
    fun eject(now: Duration) {
        ejectedUntil = now + minOf(FIRST_EJECTION * (1 shl ejections.coerceAtMost(MAXIMUM_DOUBLINGS)), LONGEST_EJECTION)
        ejections++
        failuresInRow = 0
        samples = 0
    }

    private companion object {
        const val MINIMUM_SAMPLES = 5
        const val SAMPLE_WEIGHT = 0.2
        const val FAILURES_TO_EJECT = 3
        const val HALF = 0.5
        val REPORT_HALF_LIFE = 1.seconds
        val FIRST_EJECTION = 5.seconds
        val LONGEST_EJECTION = 60.seconds
        const val MAXIMUM_DOUBLINGS = 4
    }
}

/**
 * The number of this daemon's requests on a target over the last seconds. A report states all requests at the time of
 * the report; to know how many of them were others', one needs the number of own ones at that time.
 */
internal class InFlightHistory(private var updatedAt: Duration) {
    private val counts = IntArray(BUCKETS)

    /** States the number from [now] on. */
    fun record(now: Duration, count: Int) {
        val last = counts[index(updatedAt)]
        val buckets = (bucket(now) - bucket(updatedAt)).coerceAtMost(BUCKETS.toLong())
        for (offset in 1..buckets) counts[Math.floorMod(bucket(now) - buckets + offset, BUCKETS)] = last
        counts[index(now)] = count
        updatedAt = maxOf(updatedAt, now)
    }

    /**
     * The number shortly before [time]; the oldest known one for earlier times. Requests that started within the
     * history's resolution before a report are taken as not contained in it, so that a slot is not used twice.
     */
    fun countBefore(time: Duration): Int {
        val oldest = bucket(updatedAt) - BUCKETS + 1
        return counts[Math.floorMod((bucket(time) - 1).coerceIn(oldest, bucket(updatedAt)), BUCKETS)]
    }

    private fun bucket(time: Duration): Long = Math.floorDiv(time.inWholeMilliseconds, RESOLUTION.inWholeMilliseconds)

    private fun index(time: Duration): Int = Math.floorMod(bucket(time), BUCKETS)

    private companion object {
        val RESOLUTION = 50.milliseconds

        /** Covers 3.2 s; reports count as evidence for 2.5 s. */
        const val BUCKETS = 64
    }
}
