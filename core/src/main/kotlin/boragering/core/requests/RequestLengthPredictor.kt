package boragering.core.requests

import boragering.core.DecayingSum
import boragering.core.OrganisationName
import boragering.core.catalogue.Entry
import boragering.core.catalogue.RequestLength
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Predicts which requests of one entry are long, from the entry's request class, the stated output limit and the
 * lengths observed so far. Also tracks service times and demand.
 *
 * The length of a request to a model is the number of answer parts. For a plain service, it is the duration in units of
 * 10 ms. Not thread-safe.
 */
internal class RequestLengthPredictor {
    private val recentLengths = IntArray(MEDIAN_WINDOW)
    private var sampleCount = 0
    private var median = 0
    private val lengthByCategory = object :
        LinkedHashMap<RequestCategory, MovingAverage>(MAXIMUM_CATEGORIES, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<RequestCategory, MovingAverage>): Boolean =
            size > MAXIMUM_CATEGORIES
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

    /** Whether [length] is long compared with the entry's other requests. */
    fun isLong(entry: Entry, length: Int): Boolean {
        val typical =
            if (sampleCount >= MINIMUM_SAMPLES) median else (entry.limits.outputTokens ?: 0) / TYPICAL_LENGTH_DIVISOR
        return typical > 0 && length > typical * LONG_RATIO && length >= MINIMUM_LONG_LENGTH
    }

    /** Adds an arriving request to the demand. */
    fun recordArrival(long: Boolean, now: Duration) = demand.getValue(long).add(now, expectedSeconds(long))

    /** The expected service time of a long or short request in seconds, or 1 while it is unknown. */
    fun expectedSeconds(long: Boolean): Double = observedSeconds(long) ?: 1.0

    /** The observed service time of long or short requests in seconds, or `null` while it is unknown. */
    fun observedSeconds(long: Boolean): Double? = serviceSeconds.getValue(long).takeIf { it.samples > 0 }?.value

    /** The mean service time of recent requests in seconds, or `null` while it is unknown. */
    fun meanSeconds(now: Duration): Double? {
        val known = serviceSeconds.values.filter { it.samples > 0 }
        val work = demand.values.sumOf { it.value(now) }
        val count = demand.entries.sumOf { (long, sum) -> sum.value(now) / expectedSeconds(long) }
        return if (known.isEmpty()) null else if (count > 0) work / count else known.first().value
    }

    /** Updates the statistics with a finished request. */
    fun recordFinished(plan: RequestPlan, end: AttemptEnd.Succeeded) {
        recentLengths[sampleCount++ % MEDIAN_WINDOW] = end.length
        val known = minOf(sampleCount, MEDIAN_WINDOW)
        if (sampleCount % MEDIAN_UPDATE_INTERVAL == 0) median = recentLengths.copyOf(known).sorted()[known / 2]
        lengthByCategory.getOrPut(category(plan)) { MovingAverage() }.add(end.length.toDouble())
        serviceSeconds.getValue(isLong(plan.entry, end.length)).add(end.duration / 1.seconds)
    }

    /**
     * The fraction of slots that long requests may use: their fraction of the work, multiplied by [SHARE_HEADROOM] and
     * limited to a range, so that some slots are always free of long requests for short ones. If nearly all work is
     * from long requests, they may use all slots.
     */
    fun longRequestShare(now: Duration): Double {
        val long = demand.getValue(true).value(now)
        val total = long + demand.getValue(false).value(now)
        val share = if (total > 0) long / total else 0.0
        return if (share > ONLY_LONG_THRESHOLD) 1.0 else (share * SHARE_HEADROOM).coerceIn(LOWEST_SHARE, HIGHEST_SHARE)
    }

    private fun category(plan: RequestPlan): RequestCategory {
        val stated = plan.request.outputTokens?.takeIf { it > 0 }
        return RequestCategory(
            plan.request.organisation,
            plan.request.path,
            stated?.let { (ln(it.toDouble()) / ln(2.0)).toInt() },
        )
    }

    /**
     * Requests whose lengths are expected to be similar. [magnitude] is the binary logarithm of the stated output
     * limit.
     */
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

        /** A request is long if its length exceeds the median length by more than this factor. */
        const val LONG_RATIO = 4

        /**
         * While too few lengths are known, the typical length is assumed to be the output limit divided by this number.
         * Requests that may use more than half of the output limit then count as long.
         */
        const val TYPICAL_LENGTH_DIVISOR = 8
        const val MINIMUM_LONG_LENGTH = 32
        const val SHARE_HEADROOM = 1.0
        const val LOWEST_SHARE = 0.1
        const val HIGHEST_SHARE = 0.75
        const val ONLY_LONG_THRESHOLD = 0.98
        val DEMAND_WINDOW = 30.seconds
    }
}
