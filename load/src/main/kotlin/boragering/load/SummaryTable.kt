package boragering.load

import java.util.Locale

private const val PERCENT = 100

/** The figures of one run as lines of text. */
internal fun table(summary: LoadSummary): String = with(summary) {
    listOf(
        "workload" to workload,
        "capacity" to "%.1f requests/s".format(Locale.ROOT, capacityPerSecond),
        "offered" to "$offered",
        "answered, refused, broken" to "$answered, $refused, $broken",
        "answered in time" to "%d of %.0f answerable (%.1f%%)"
            .format(Locale.ROOT, answeredInTime, answerable, share * PERCENT),
        "urgent lost" to "$urgentLost of $urgentOffered",
        "first token, short" to line(shortFirstToken),
        "first token, long" to line(longFirstToken),
    ).joinToString("\n") { (name, value) -> "%-28s%s".format(Locale.ROOT, name, value) }
}

private fun line(quantiles: Quantiles) = with(quantiles) {
    "median %.1f ms, 95%% %.1f ms, 99%% %.1f ms of %d"
        .format(Locale.ROOT, median, percentile95, percentile99, count)
}
