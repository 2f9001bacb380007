package boragering.core.requests

import boragering.core.OrganisationName
import boragering.core.catalogue.Entry
import boragering.core.catalogue.RequestLength
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Predicts which requests of one entry are long, by its class, the stated output limit and the lengths seen so far. A
 * length is the number of answer parts of a model, or tens of milliseconds of a plain service. Not safe for several
 * threads.
 */
internal class RequestLengths {
    private val recent = IntArray(SAMPLES)
    private var seen = 0
    private var median = 0
    private val seenByKind = object : LinkedHashMap<Kind, Average>(KINDS, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<Kind, Average>): Boolean = size > KINDS
    }
    private val durations = mapOf(false to Average(), true to Average())
    private val demand = mapOf(false to DecayingSum(DEMAND_WINDOW), true to DecayingSum(DEMAND_WINDOW))

    /** Whether [plan]'s request is expected to be long. */
    fun predict(plan: RequestPlan): Boolean = when (plan.entry.requestClass.length) {
        RequestLength.SHORT -> false
        RequestLength.LONG -> true
        RequestLength.MIXED -> {
            val known = seenByKind[kind(plan)]?.takeIf { it.samples >= MINIMUM_SAMPLES }?.value
            isLong(plan.entry, (known ?: plan.request.outputTokens?.toDouble() ?: 0.0).toInt())
        }
    }

    /** Whether a request of [length] is long among the entry's requests. */
    fun isLong(entry: Entry, length: Int): Boolean {
        val typical = if (seen >= MINIMUM_SAMPLES) median else (entry.limits.outputTokens ?: 0) / UNKNOWN_TYPICAL_PART
        return typical > 0 && length > typical * LONG_RATIO && length >= SHORTEST_LONG
    }

    /** Counts an arriving request towards the demand. */
    fun arrived(long: Boolean, now: Duration) = demand.getValue(long).add(now, cost(long))

    /** The expected service time in seconds of a long or short request, one second while unknown. */
    fun cost(long: Boolean): Double = knownDuration(long) ?: 1.0

    /** The service time in seconds of long or short requests, `null` while unknown. */
    fun knownDuration(long: Boolean): Double? = durations.getValue(long).takeIf { it.samples > 0 }?.value

    /** The mean service time in seconds of recent requests, `null` while unknown. */
    fun meanDuration(now: Duration): Double? {
        val known = durations.values.filter { it.samples > 0 }
        val work = demand.values.sumOf { it.value(now) }
        val count = demand.entries.sumOf { (long, sum) -> sum.value(now) / cost(long) }
        return if (known.isEmpty()) null else if (count > 0) work / count else known.first().value
    }

    /** Learns from a finished request. */
    fun finished(plan: RequestPlan, end: AttemptEnd.Succeeded) {
        recent[seen++ % SAMPLES] = end.length
        val known = minOf(seen, SAMPLES)
        if (seen % MEDIAN_EVERY == 0) median = recent.copyOf(known).sorted()[known / 2]
        seenByKind.getOrPut(kind(plan)) { Average() }.add(end.length.toDouble())
        durations.getValue(isLong(plan.entry, end.length)).add(end.duration / 1.seconds)
    }

    /**
     * The share of slots that long requests may use: somewhat more than their share of the work, within bounds, so
     * that short requests always find slots that no long request holds.
     */
    fun longShare(now: Duration): Double {
        val long = demand.getValue(true).value(now)
        val total = long + demand.getValue(false).value(now)
        val share = if (total > 0) long / total else 0.0
        return if (share > ONLY_LONG) 1.0 else (share * HEADROOM).coerceIn(LOWEST_SHARE, HIGHEST_SHARE)
    }

    private fun kind(plan: RequestPlan): Kind {
        val stated = plan.request.outputTokens?.takeIf { it > 0 }
        return Kind(plan.request.organisation, plan.request.path, stated?.let { (ln(it.toDouble()) / ln(2.0)).toInt() })
    }

    /** Requests that are expected to be of similar length; [magnitude] is the binary logarithm of the stated limit. */
    private data class Kind(val organisation: OrganisationName, val path: String, val magnitude: Int?)

    private class Average {
        var value = 0.0
            private set
        var samples = 0
            private set

        fun add(sample: Double) {
            samples++
            value += (sample - value) * maxOf(1.0 / samples, WEIGHT)
        }
    }

    private companion object {
        const val SAMPLES = 101
        const val MEDIAN_EVERY = 8
        const val MINIMUM_SAMPLES = 8
        const val WEIGHT = 0.1
        const val KINDS = 500
        const val LOAD_FACTOR = 0.75f

        /** A request counts as long from this multiple of the median length. */
        const val LONG_RATIO = 4

        /** Before lengths are known, requests that may use more than half of the output limit count as long. */
        const val UNKNOWN_TYPICAL_PART = 8
        const val SHORTEST_LONG = 32
        const val HEADROOM = 1.0
        const val LOWEST_SHARE = 0.1
        const val HIGHEST_SHARE = 0.75
        const val ONLY_LONG = 0.98
        val DEMAND_WINDOW = 30.seconds
    }
}
