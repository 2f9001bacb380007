package boragering.client

import arrow.core.raise.Raise
import arrow.core.raise.ensure
import boragering.core.catalogue.UnitFormat
import boragering.core.operators.RequestAnswer
import boragering.core.operators.TimelineAnswer
import boragering.core.timeline.TimelineBuffer
import boragering.core.timeline.TimelineEvent
import boragering.core.timeline.TimelinePage
import boragering.core.timeline.TimelineText
import boragering.core.timeline.mergeTimelines
import io.ktor.http.encodeURLPathPart
import kotlinx.serialization.Serializable
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.time.Instant
import java.time.format.DateTimeParseException

/** Events of all daemons, as `--output json` prints them. */
@Serializable
internal data class EventsAnswer(
    val events: List<TimelineEvent>,
    val unreachable: List<String>,
    val limited: Boolean,
)

/**
 * Keeps the newest [limit] of the collected events. They are the newest of the whole system when every daemon has
 * answered with its own newest [limit].
 */
internal class EventCollector(private val limit: Int) {
    private var events = emptyList<TimelineEvent>()
    private var limited = false

    fun add(more: List<TimelineEvent>) {
        val merged = mergeTimelines(listOf(events, more))
        if (merged.size > limit || more.size >= limit) limited = true
        events = merged.takeLast(limit)
    }

    fun answer(unreachable: List<String>) = EventsAnswer(events, unreachable, limited)
}

private fun eventsResult(exitCode: ExitCode, answer: EventsAnswer): Result {
    val text = TimelineText.of(answer.events) + notes(answer).joinToString("") { printable(it) + "\n" }
    return Result(exitCode, text, Answers.text(EventsAnswer.serializer(), answer))
}

private fun notes(answer: EventsAnswer): List<String> =
    answer.unreachable.map { "no events of $it" } +
        listOf("only the newest ${answer.events.size} events are shown").filter { answer.limited }

internal class RequestsCommand : RemoteCommand("Shows what happened to one request on all daemons.", " ID") {
    @Argument(metaVar = "ID", usage = "the request's identity, from the header X-Request-Id", required = true)
    private var request: String = ""

    override suspend fun Raise<CommandFailure>.ask(daemons: Daemons, console: Console): Result {
        val call = OperatorCall("/operator/requests/${request.encodeURLPathPart()}")
        val collector = EventCollector(TimelineBuffer.CAPACITY)
        val answer = collector.answer(
            daemons.readAll(this, call, RequestAnswer.serializer()) { collector.add(it.events) },
        )
        val none = answer.events.isEmpty()
        if (none) console.err.println("boragerctl: no daemon that answered has events of the request")
        return eventsResult(if (none) ExitCode.REFUSED else ExitCode.SUCCESS, answer)
    }
}

internal class TimelineCommand : RemoteCommand("Shows the events of all daemons in one order.") {
    @Option(name = "--group", metaVar = "GROUP", usage = "only events of this group")
    private var group: String? = null

    @Option(name = "--instance", metaVar = "INSTANCE", usage = "only events of this instance")
    private var instance: String? = null

    @Option(name = "--request", metaVar = "ID", usage = "only events of this request")
    private var request: String? = null

    @Option(
        name = "--since",
        metaVar = "TIME",
        usage = "only events after this time: a duration before now such as 15m, or for example 2026-12-04T03:00:00Z",
    )
    private var since: String? = null

    @Option(name = "--limit", metaVar = "NUMBER", usage = "only the newest events, this many; 5000 without it")
    private var limit: Int = DEFAULT_LIMIT

    @Option(name = "--html", metaVar = "FILE", usage = "write a page with a drawn time line to this file")
    private var html: String? = null

    override fun Raise<CommandFailure>.prepare(console: Console) {
        ensure(limit in 1..TimelineBuffer.CAPACITY) { usage("--limit is not from 1 to ${TimelineBuffer.CAPACITY}") }
        start(console)
    }

    override suspend fun Raise<CommandFailure>.ask(daemons: Daemons, console: Console): Result {
        val query = listOf(
            "group" to group,
            "instance" to instance,
            "request" to request,
            "since" to start(console),
            "limit" to limit.toString(),
        ).mapNotNull { (name, value) -> value?.let { name to it } }.toMap()
        val collector = EventCollector(limit)
        val call = OperatorCall("/operator/timeline", query)
        val unreachable = daemons.readAll(this, call, TimelineAnswer.serializer()) { collector.add(it.events) }
        val answer = collector.answer(unreachable)
        val result = eventsResult(ExitCode.SUCCESS, answer)
        return html?.let { file ->
            write(file, TimelinePage(answer.events, notes(answer)).html())
            val notes = notes(answer).joinToString("") { "\n" + printable(it) }
            result.copy(text = "${answer.events.size} events written to $file$notes")
        } ?: result
    }

    private fun Raise<CommandFailure>.start(console: Console): String? = since?.let { text ->
        UnitFormat.duration(text).fold(
            { instant(text).toEpochMilli() },
            { console.nowMilliseconds() - it.inWholeMilliseconds },
        ).toString()
    }

    private fun Raise<CommandFailure>.instant(text: String): Instant =
        try {
            Instant.parse(text)
        } catch (exception: DateTimeParseException) {
            raise(usage("--since ${exception.parsedString} is neither a duration nor a time in UTC"))
        }

    private fun Raise<CommandFailure>.write(file: String, page: String) {
        try {
            Files.writeString(Path.of(file), page)
        } catch (exception: IOException) {
            raise(usage("$file cannot be written: ${exception.javaClass.simpleName} ${exception.message}"))
        }
    }

    private companion object {
        const val DEFAULT_LIMIT = 5000
    }
}
