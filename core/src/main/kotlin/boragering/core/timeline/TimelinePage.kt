package boragering.core.timeline

import java.util.Locale

/**
 * Renders the timeline as one HTML page without external resources and without scripts. The page contains a drawing
 * with one lane for each daemon and group, and a table of the events.
 */
class TimelinePage(timeline: List<TimelineEvent>, private val notes: List<String> = emptyList()) {
    private val omitted = maxOf(0, timeline.size - MAXIMUM_EVENTS)
    private val events = timeline.takeLast(MAXIMUM_EVENTS)
    private val kinds = events.map { it.entry.kind }.distinct().sorted()
    private val lanes = events.map { daemonLane(it) }.distinct().sorted() +
        events.mapNotNull { groupLane(it) }.distinct().sorted()
    private val laneIndex = lanes.withIndex().associate { it.value to it.index }
    private val first = events.minOfOrNull { it.stamp.milliseconds } ?: 0
    private val span = maxOf(1, (events.maxOfOrNull { it.stamp.milliseconds } ?: 0) - first)

    /** Returns the HTML document. */
    fun html(): String = buildString {
        append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Time line</title>\n")
        append("<style>$STYLE</style></head><body>\n<h1>Time line</h1>\n")
        append("<p>${events.size} events, times in UTC.</p>\n")
        if (omitted > 0) append("<p>$omitted older events are left out.</p>\n")
        notes.forEach { append("<p class=\"note\">${escape(it)}</p>\n") }
        append(legend())
        append(drawing())
        append(table())
        append("</body></html>\n")
    }

    private fun legend(): String = kinds.joinToString(" ", "<p>", "</p>\n") { kind ->
        "<span style=\"color:${colour(kind)}\">&#9679;</span> ${escape(kind)}"
    }

    private fun drawing(): String = buildString {
        val height = lanes.size * LANE_HEIGHT + AXIS_HEIGHT
        append("<svg width=\"$WIDTH\" height=\"$height\" role=\"img\" aria-label=\"Events by daemon and group\">\n")
        lanes.forEachIndexed { index, lane ->
            val y = centre(index)
            append("<line x1=\"$LABEL_WIDTH\" y1=\"$y\" x2=\"$WIDTH\" y2=\"$y\" class=\"lane\"/>")
            append("<text x=\"0\" y=\"${y + TEXT_SHIFT}\">${escape(lane)}</text>\n")
        }
        for (event in events) {
            listOfNotNull(daemonLane(event), groupLane(event)).forEach { append(dot(event, it)) }
        }
        for (tick in 0..TICK_COUNT) append(tick(first + span * tick / TICK_COUNT, height))
        append("</svg>\n")
    }

    private fun dot(event: TimelineEvent, lane: String): String {
        val y = centre(laneIndex.getValue(lane))
        val title = escape(TimelineText.line(event))
        return "<circle cx=\"${x(event.stamp.milliseconds)}\" cy=\"$y\" r=\"4\" fill=\"${colour(event.entry.kind)}\">" +
            "<title>$title</title></circle>\n"
    }

    private fun tick(milliseconds: Long, height: Int): String {
        val x = x(milliseconds)
        val anchor = if (milliseconds == first) "start" else "end"
        val time = TimelineText.time(milliseconds).substringAfter('T')
        return "<line x1=\"$x\" y1=\"0\" x2=\"$x\" y2=\"${height - AXIS_HEIGHT}\" class=\"tick\"/>" +
            "<text x=\"$x\" y=\"${height - TEXT_SHIFT}\" text-anchor=\"$anchor\">$time</text>\n"
    }

    private fun table(): String = buildString {
        append("<table><tr><th>time</th><th>daemon</th><th>kind</th><th>concerns</th><th>event</th></tr>\n")
        events.forEach { event ->
            val entry = event.entry
            val subjects = TimelineText.subjects(entry).joinToString(", ")
            val origin = listOf(TimelineText.time(event.stamp), event.stamp.daemon.value)
            val cells = origin + listOf(entry.kind, subjects, entry.text)
            cells.joinTo(this, "", "<tr>", "</tr>\n") { "<td>${escape(it)}</td>" }
        }
        append("</table>\n")
    }

    private fun x(milliseconds: Long): String {
        val share = (milliseconds - first).toDouble() / span
        return String.format(Locale.ROOT, "%.1f", LABEL_WIDTH + MARGIN + share * (WIDTH - LABEL_WIDTH - 2 * MARGIN))
    }

    private fun centre(lane: Int) = lane * LANE_HEIGHT + LANE_HEIGHT / 2

    private fun colour(kind: String): String = COLOURS[kinds.indexOf(kind) % COLOURS.size]

    companion object {
        /** Maximum number of events on a page, of which the newest are kept, so that browsers can display the page. */
        const val MAXIMUM_EVENTS = 10_000

        private const val WIDTH = 1400
        private const val LABEL_WIDTH = 260
        private const val MARGIN = 8
        private const val LANE_HEIGHT = 22
        private const val AXIS_HEIGHT = 24
        private const val TEXT_SHIFT = 4
        private const val TICK_COUNT = 6
        private const val STYLE = "body{font:14px sans-serif;margin:1em}" +
            "svg{font-size:12px;display:block;margin:1em 0}" +
            ".lane{stroke:#ddd}.tick{stroke:#eee}.note{color:#a00}" +
            "td,th{text-align:left;padding:2px 8px;border-bottom:1px solid #eee;font-size:13px}"
        private val COLOURS =
            listOf("#1f77b4", "#d62728", "#2ca02c", "#ff7f0e", "#9467bd", "#8c564b", "#e377c2", "#17becf", "#777")

        private fun daemonLane(event: TimelineEvent) = "daemon ${event.stamp.daemon}"

        private fun groupLane(event: TimelineEvent) = event.entry.group?.let { "group $it" }
    }
}

/** Escapes [text] for HTML text or attribute values; control characters, which HTML forbids, become spaces. */
internal fun escape(text: String): String = buildString {
    text.forEach { character ->
        when (character) {
            '&' -> append("&amp;")
            '<' -> append("&lt;")
            '>' -> append("&gt;")
            '"' -> append("&quot;")
            '\'' -> append("&#39;")
            else -> append(if (character.isISOControl()) ' ' else character)
        }
    }
}
