package boragering.load

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Quantiles of a time in milliseconds. */
@Serializable
data class Quantiles(val count: Long, val median: Double, val percentile95: Double, val percentile99: Double) {
    companion object {
        private const val LONGEST_MICROSECONDS = 600_000_000L
        private const val DIGITS = 3
        private const val MICROSECONDS = 1000.0
        private const val MEDIAN = 50.0
        private const val P95 = 95.0
        private const val P99 = 99.0

        /** The quantiles of [times]. */
        fun of(times: List<Duration>): Quantiles {
            val histogram = Histogram(LONGEST_MICROSECONDS, DIGITS)
            times.forEach { histogram.recordValue(it.inWholeMicroseconds.coerceIn(0, LONGEST_MICROSECONDS)) }
            fun at(percentile: Double) = histogram.getValueAtPercentile(percentile) / MICROSECONDS
            return Quantiles(histogram.totalCount, at(MEDIAN), at(P95), at(P99))
        }
    }
}

/**
 * The figures of the measured phases. [answeredInTime] counts whole answers whose first token came within the target;
 * [answerable] is the smaller one of what was offered and what the slots could have answered.
 */
@Serializable
data class LoadSummary(
    val workload: String,
    val selection: String,
    val offered: Int,
    val answered: Int,
    val refused: Int,
    val broken: Int,
    val answeredInTime: Int,
    val answerable: Double,
    val urgentOffered: Int,
    val urgentLost: Int,
    val refusals: Map<String, Int>,
    val capacityPerSecond: Double,
    val shortFirstToken: Quantiles,
    val longFirstToken: Quantiles,
    val processorMillisecondsPerRequest: Double,
) {
    /** The part of the answerable requests that were answered in time. */
    val share: Double get() = answeredInTime / answerable

    companion object {
        private val target = Duration.parse("820ms")
        private const val SUCCESS = 200

        private fun refusal(sample: Sample): String? = sample.refusal?.let {
            val urgency = if (sample.arrival.urgent) "urgent" else "normal"
            val length = if (sample.arrival.long) "long" else "short"
            "$urgency, $length: $it"
        }

        /** Sums up the [result] of a run of [workload] with the policy [selection]. */
        internal fun of(workload: Workload, selection: String, result: RunResult): LoadSummary {
            val samples = result.samples.filterNot { it.direct }
            val measured = samples.filter { it.arrival.measured }
            val seconds = workload.phases.filter { it.measured }.sumOf { it.seconds }
            val answered = measured.filter { it.complete }
            val urgent = measured.filter { it.arrival.urgent }
            fun firstTokens(long: Boolean) = answered.filter { it.arrival.long == long }.mapNotNull { it.firstToken }
            return LoadSummary(
                workload.name,
                selection,
                measured.size,
                answered.size,
                refused = measured.count { it.status != 0 && it.status != SUCCESS },
                broken = measured.count { !it.complete && (it.status == 0 || it.status == SUCCESS) },
                answeredInTime = answered.count { sample -> sample.firstToken?.let { it <= target } ?: false },
                answerable = minOf(measured.size.toDouble(), workload.capacity * seconds),
                urgent.size,
                urgentLost = urgent.count { !it.complete },
                refusals = measured.mapNotNull(::refusal).groupingBy { it }.eachCount(),
                workload.capacity,
                Quantiles.of(firstTokens(long = false)),
                Quantiles.of(firstTokens(long = true)),
                result.processorTime / 1.milliseconds / samples.size,
            )
        }
    }
}
