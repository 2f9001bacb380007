package boragering.load

import java.util.Locale

private const val PERCENT = 100

/** The figures of one run as lines of text. */
internal fun table(summary: LoadSummary): String = with(summary) {
    listOf(
        "workload, selection" to "$workload, $selection",
        "capacity" to "%.1f requests/s".format(Locale.ROOT, capacityPerSecond),
        "offered" to "$offered",
        "answered, refused, broken" to "$answered, $refused, $broken",
        "answered in time" to "%d of %.0f answerable (%.1f%%)"
            .format(Locale.ROOT, answeredInTime, answerable, share * PERCENT),
        "urgent lost" to "$urgentLost of $urgentOffered",
        "first token, short" to line(shortFirstToken),
        "first token, long" to line(longFirstToken),
    ).plus(refusals.toSortedMap().map { (reason, count) -> "refused $count" to reason }).plus(
        "processor time of daemons" to "%.2f ms per request".format(Locale.ROOT, processorMillisecondsPerRequest),
    ).joinToString("\n") { (name, value) -> "%-29s%s".format(Locale.ROOT, name, value) }
}

/** What passing a daemon adds, from [samples] of which half went straight to an engine. */
internal fun addedTime(samples: List<Sample>): String {
    val whole = samples.filter { it.arrival.measured && it.complete }
    fun rows(direct: Boolean): List<Quantiles> {
        val part = whole.filter { it.direct == direct }
        return listOf(Quantiles.of(part.mapNotNull { it.firstToken }), Quantiles.of(part.map { it.end }))
    }
    val names = listOf("first token", "whole answer")
    return names.zip(rows(direct = false).zip(rows(direct = true))).joinToString("\n") { (name, pair) ->
        val (through, direct) = pair
        "%-29s%s\n%-29s%s\n%-29smedian %.2f ms, 99%% %.2f ms".format(
            Locale.ROOT,
            "$name, through daemon",
            line(through),
            "$name, direct",
            line(direct),
            "$name, added",
            through.median - direct.median,
            through.percentile99 - direct.percentile99,
        )
    }
}

private fun line(quantiles: Quantiles) = with(quantiles) {
    "median %.1f ms, 95%% %.1f ms, 99%% %.1f ms of %d"
        .format(Locale.ROOT, median, percentile95, percentile99, count)
}
