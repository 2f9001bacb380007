package boragering.core.timeline

import java.time.Instant
import java.time.ZoneOffset
import java.time.format.DateTimeFormatter

/** Writes the time line as text, one event a line. */
object TimelineText {
    private val TIME = DateTimeFormatter.ofPattern("uuuu-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC)

    /** The events of [timeline] in their order. */
    fun of(timeline: List<TimelineEvent>): String = timeline.joinToString("") { line(it) + "\n" }

    /** One event: time, daemon, kind, what it concerns, text. */
    fun line(event: TimelineEvent): String {
        val entry = event.entry
        val parts = listOf(time(event.stamp), event.stamp.daemon.value, entry.kind) + subjects(entry) + entry.text
        return parts.joinToString("  ") { printable(it) }
    }

    /** A stamp as wall-clock time in UTC, with its counter when it is not 0. */
    fun time(stamp: HybridTime): String =
        time(stamp.milliseconds) + if (stamp.counter == 0) "" else "+${stamp.counter}"

    /** A wall-clock time in milliseconds since the Unix epoch, in UTC. */
    fun time(milliseconds: Long): String = TIME.format(Instant.ofEpochMilli(milliseconds))

    internal fun subjects(entry: TimelineEntry): List<String> = listOfNotNull(
        entry.entry?.let { "entry=$it" },
        entry.group?.let { "group=$it" },
        entry.instance?.let { "instance=$it" },
        entry.request?.let { "request=$it" },
    )

    /** Replaces control characters, which could forge lines or steer the operator's terminal. */
    private fun printable(text: String): String =
        text.map { if (it.isISOControl()) ' ' else it }.joinToString("")
}
