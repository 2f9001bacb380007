package boragering.core.requests

import boragering.core.Candidate
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** This daemon's requests on one target and the load, latency and failures observed from them. Not thread-safe. */
internal class TargetLoad(now: Duration) {
    private val history = InFlightHistory(now)

    /** Number of other daemons' requests, inferred from a refusal at [refusedAt]. A newer report replaces it. */
    private var othersAtRefusal = 0
    private var refusedAt: Duration? = null
    private var failuresInRow = 0
    private var samples = 0
    private var ejections = 0

    /** Number of this daemon's requests in flight on the target. */
    var inFlight = 0
        private set

    /** Number of these requests that are long. */
    var longInFlight = 0

    /** Moving average of the time to the first part of an answer, or `null` while there are too few samples. */
    val latency: Duration? get() = averageLatency.takeIf { samples >= MINIMUM_SAMPLES }
    private var averageLatency = Duration.ZERO

    /** Monotonic time until which the target gets no requests because it is slow or failing. */
    var ejectedUntil = Duration.ZERO
        private set

    /** Whether enough consecutive requests failed for the target to be ejected. */
    val failing: Boolean get() = failuresInRow >= FAILURES_TO_EJECT

    /** Number of further requests that the target can take, according to this daemon's information. May be negative. */
    fun freeSlots(candidate: Candidate, now: Duration): Int = candidate.slots - inFlight - otherRequests(candidate, now)

    /**
     * Whether one request may be tried although the report shows no free slot. Without such probes, a wrong report, or
     * other daemons that take each slot as it becomes free, could keep this daemon off the target for ever.
     */
    fun mayProbe(candidate: Candidate, now: Duration): Boolean =
        inFlight == 0 && candidate.slots > 0 && (refusedAt ?: Duration.ZERO) <= now - candidate.reportAge

    /**
     * Estimated fraction of the target's slots in use. The weight of a report decreases with its age, because a target
     * that was loaded some time ago is as good a choice as one with unknown load.
     */
    fun utilisation(candidate: Candidate, now: Duration): Double {
        val discountedOthers = otherRequests(candidate, now) * HALF.pow(candidate.reportAge / REPORT_HALF_LIFE)
        return (inFlight + discountedOthers) / candidate.slots.coerceAtLeast(1)
    }

    /** Number of requests on the target from other daemons, according to the last report or refusal. */
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

    /** Records a complete answer. [firstPart] is the time to its first part. */
    fun recordSuccess(firstPart: Duration) {
        failuresInRow = 0
        samples++
        averageLatency = if (samples == 1) firstPart else averageLatency + (firstPart - averageLatency) * SAMPLE_WEIGHT
    }

    /** Records that the target failed during a request. */
    fun recordFailure() {
        failuresInRow++
    }

    /**
     * Records a refusal for lack of capacity, which shows that other daemons use all slots that this daemon does not
     * use.
     */
    fun recordRefusal(slots: Int, now: Duration) {
        othersAtRefusal = slots - (inFlight - 1)
        refusedAt = now
    }

    /**
     * Ejects the target and resets its failures and latency samples. Each further ejection lasts twice as long as the
     * one before, up to a limit.
     */
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
 * History of the number of this daemon's requests on a target over the last seconds. A report counts all requests on
 * the target at the time of the report. To derive the number of other daemons' requests from it, this daemon's own
 * number at that time is needed.
 */
internal class InFlightHistory(private var updatedAt: Duration) {
    private val counts = IntArray(BUCKETS)

    /** Records the number of requests in flight from [now] on. */
    fun record(now: Duration, count: Int) {
        val last = counts[index(updatedAt)]
        val buckets = (bucket(now) - bucket(updatedAt)).coerceAtMost(BUCKETS.toLong())
        for (offset in 1..buckets) counts[Math.floorMod(bucket(now) - buckets + offset, BUCKETS)] = last
        counts[index(now)] = count
        updatedAt = maxOf(updatedAt, now)
    }

    /**
     * Returns the number shortly before [time], or the oldest known number if [time] is before the history. Requests
     * that started within the history's resolution before a report are taken as not included in the report, so that a
     * slot is not used twice.
     */
    fun countBefore(time: Duration): Int {
        val oldest = bucket(updatedAt) - BUCKETS + 1
        return counts[Math.floorMod((bucket(time) - 1).coerceIn(oldest, bucket(updatedAt)), BUCKETS)]
    }

    private fun bucket(time: Duration): Long = Math.floorDiv(time.inWholeMilliseconds, RESOLUTION.inWholeMilliseconds)

    private fun index(time: Duration): Int = Math.floorMod(bucket(time), BUCKETS)

    private companion object {
        val RESOLUTION = 50.milliseconds

        /** The history covers 3.2 s. Reports count as evidence for 2.5 s. */
        const val BUCKETS = 64
    }
}
