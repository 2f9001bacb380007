package boragering.core.timeline

import java.time.Instant
import java.time.ZoneOffset
import java.time.format.DateTimeFormatter

/** Formats the timeline as text, one event per line. */
object TimelineText {
    private val TIME = DateTimeFormatter.ofPattern("uuuu-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC)

    /** Formats the events of [timeline] in the given order. */
    fun of(timeline: List<TimelineEvent>): String = timeline.joinToString("") { line(it) + "\n" }

    /** Formats one event: its time, daemon, kind, the objects that it concerns, and its text. */
    fun line(event: TimelineEvent): String {
        val entry = event.entry
        val parts = listOf(time(event.stamp), event.stamp.daemon.value, entry.kind) + subjects(entry) + entry.text
        return parts.joinToString("  ") { printable(it) }
    }

    /** Formats a timestamp as wall-clock time in UTC, followed by its counter if that is not 0. */
    fun time(stamp: HybridTime): String =
        time(stamp.milliseconds) + if (stamp.counter == 0) "" else "+${stamp.counter}"

    /** Formats [milliseconds] since the Unix epoch as wall-clock time in UTC. */
    fun time(milliseconds: Long): String = TIME.format(Instant.ofEpochMilli(milliseconds))

    internal fun subjects(entry: TimelineEntry): List<String> = listOfNotNull(
        entry.entry?.let { "entry=$it" },
        entry.group?.let { "group=$it" },
        entry.instance?.let { "instance=$it" },
        entry.request?.let { "request=$it" },
    )

    /** Replaces control characters, which could forge lines or control the operator's terminal. */
    private fun printable(text: String): String =
        text.map { if (it.isISOControl()) ' ' else it }.joinToString("")
}
