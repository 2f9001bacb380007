package boragering.core.requests

import boragering.core.OrganisationName
import boragering.core.catalogue.Entry
import boragering.core.catalogue.RequestLength
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Predicts which requests of one entry are long, by its class, the stated output limit and the lengths sampleCount so far. A
 * length is the number of answer parts of a model, or tens of milliseconds of a plain service. Not safe for several
 * threads.
 */
internal class RequestLengthPredictor {
    private val recentLengths = IntArray(MEDIAN_WINDOW)
    private var sampleCount = 0
    private var median = 0
    private val lengthByCategory = object : LinkedHashMap<RequestCategory, MovingAverage>(MAXIMUM_CATEGORIES, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<RequestCategory, MovingAverage>): Boolean = size > MAXIMUM_CATEGORIES
    }
    private val serviceSeconds = mapOf(false to MovingAverage(), true to MovingAverage())
    private val demand = mapOf(false to DecayingSum(DEMAND_WINDOW), true to DecayingSum(DEMAND_WINDOW))

    /** Whether [plan]'s request is expected to be long. */
    fun predict(plan: RequestPlan): Boolean = when (plan.entry.requestClass.length) {
        RequestLength.SHORT -> false
        RequestLength.LONG -> true
        RequestLength.MIXED -> {
            val known = lengthByCategory[category(plan)]?.takeIf { it.samples >= MINIMUM_SAMPLES }?.value
            isLong(plan.entry, (known ?: plan.request.outputTokens?.toDouble() ?: 0.0).toInt())
        }
    }

    /** Whether a request of [length] is long among the entry's requests. */
    fun isLong(entry: Entry, length: Int): Boolean {
        val typical = if (sampleCount >= MINIMUM_SAMPLES) median else (entry.limits.outputTokens ?: 0) / OUTPUT_LIMIT_PER_TYPICAL_LENGTH
        return typical > 0 && length > typical * LONG_RATIO && length >= MINIMUM_LONG_LENGTH
    }

    /** Counts an arriving request towards the demand. */
    fun recordArrival(long: Boolean, now: Duration) = demand.getValue(long).add(now, expectedSeconds(long))

    /** The expected service time in seconds of a long or short request, one second while unknown. */
    fun expectedSeconds(long: Boolean): Double = observedSeconds(long) ?: 1.0

    /** The service time in seconds of long or short requests, `null` while unknown. */
    fun observedSeconds(long: Boolean): Double? = serviceSeconds.getValue(long).takeIf { it.samples > 0 }?.value

    /** The mean service time in seconds of recentLengths requests, `null` while unknown. */
    fun meanSeconds(now: Duration): Double? {
        val known = serviceSeconds.values.filter { it.samples > 0 }
        val work = demand.values.sumOf { it.value(now) }
        val count = demand.entries.sumOf { (long, sum) -> sum.value(now) / expectedSeconds(long) }
        return if (known.isEmpty()) null else if (count > 0) work / count else known.first().value
    }

    /** Learns from a finished request. */
    fun recordFinished(plan: RequestPlan, end: AttemptEnd.Succeeded) {
        recentLengths[sampleCount++ % MEDIAN_WINDOW] = end.length
        val known = minOf(sampleCount, MEDIAN_WINDOW)
        if (sampleCount % MEDIAN_UPDATE_INTERVAL == 0) median = recentLengths.copyOf(known).sorted()[known / 2]
        lengthByCategory.getOrPut(category(plan)) { MovingAverage() }.add(end.length.toDouble())
        serviceSeconds.getValue(isLong(plan.entry, end.length)).add(end.duration / 1.seconds)
    }

    /**
     * The share of slots that long requests may use: somewhat more than their share of the work, within bounds, so
     * that short requests always find slots that no long request holds.
     */
    fun longRequestShare(now: Duration): Double {
        val long = demand.getValue(true).value(now)
        val total = long + demand.getValue(false).value(now)
        val share = if (total > 0) long / total else 0.0
        return if (share > ONLY_LONG_THRESHOLD) 1.0 else (share * SHARE_HEADROOM).coerceIn(LOWEST_SHARE, HIGHEST_SHARE)
    }

    private fun category(plan: RequestPlan): RequestCategory {
        val stated = plan.request.outputTokens?.takeIf { it > 0 }
        return RequestCategory(plan.request.organisation, plan.request.path, stated?.let { (ln(it.toDouble()) / ln(2.0)).toInt() })
    }

    /** Requests that are expected to be of similar length; [magnitude] is the binary logarithm of the stated limit. */
    private data class RequestCategory(val organisation: OrganisationName, val path: String, val magnitude: Int?)

    private class MovingAverage {
        var value = 0.0
            private set
        var samples = 0
            private set

        fun add(sample: Double) {
            samples++
            value += (sample - value) * maxOf(1.0 / samples, MINIMUM_SAMPLE_WEIGHT)
        }
    }

    private companion object {
        const val MEDIAN_WINDOW = 101
        const val MEDIAN_UPDATE_INTERVAL = 8
        const val MINIMUM_SAMPLES = 8
        const val MINIMUM_SAMPLE_WEIGHT = 0.1
        const val MAXIMUM_CATEGORIES = 500
        const val LOAD_FACTOR = 0.75f

        /** A request counts as long from this multiple of the median length. */
        const val LONG_RATIO = 4

        /** Before lengths are known, requests that may use more than half of the output limit count as long. */
        const val OUTPUT_LIMIT_PER_TYPICAL_LENGTH = 8
        const val MINIMUM_LONG_LENGTH = 32
        const val SHARE_HEADROOM = 1.0
        const val LOWEST_SHARE = 0.1
        const val HIGHEST_SHARE = 0.75
        const val ONLY_LONG_THRESHOLD = 0.98
        val DEMAND_WINDOW = 30.seconds
    }
}
