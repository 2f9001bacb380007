package boragering.client

import arrow.core.raise.Raise
import boragering.core.RequestAnswer
import boragering.core.TimelineAnswer
import boragering.core.TimelineEvent
import boragering.core.TimelinePage
import boragering.core.TimelineText
import boragering.core.UnitReader
import boragering.core.mergeTimelines
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
internal data class EventsAnswer(val events: List<TimelineEvent>, val unreachable: List<String>)

private fun eventsResult(exitCode: ExitCode, events: List<TimelineEvent>, unreachable: List<String>): Result {
    val text = TimelineText.of(events) + notes(unreachable).joinToString("") { printable(it) + "\n" }
    val json = Answers.text(EventsAnswer.serializer(), EventsAnswer(events, unreachable))
    return Result(exitCode, text, json)
}

private fun notes(unreachable: List<String>): List<String> = unreachable.map { "no events of $it" }

internal class RequestsCommand : RemoteCommand("Shows what happened to one request on all daemons.", " ID") {
    @Argument(metaVar = "ID", usage = "the request's identity, from the header X-Request-Id", required = true)
    private var request: String = ""

    override suspend fun Raise<CommandFailure>.ask(daemons: Daemons, console: Console): Result {
        val call = OperatorCall("/operator/requests/${request.encodeURLPathPart()}")
        val fleet = daemons.readAll(this, call, RequestAnswer.serializer())
        val events = mergeTimelines(fleet.answers.map { it.events })
        if (events.isEmpty()) console.err.println("boragerctl: no daemon that answered has events of the request")
        return eventsResult(if (events.isEmpty()) ExitCode.REFUSED else ExitCode.SUCCESS, events, fleet.unreachable)
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

    @Option(name = "--html", metaVar = "FILE", usage = "write a page with a drawn time line to this file")
    private var html: String? = null

    override suspend fun Raise<CommandFailure>.ask(daemons: Daemons, console: Console): Result {
        val query = listOf("group" to group, "instance" to instance, "request" to request, "since" to start(console))
            .mapNotNull { (name, value) -> value?.let { name to it } }.toMap()
        val fleet = daemons.readAll(this, OperatorCall("/operator/timeline", query), TimelineAnswer.serializer())
        val events = mergeTimelines(fleet.answers.map { it.events })
        val result = eventsResult(ExitCode.SUCCESS, events, fleet.unreachable)
        return html?.let { file ->
            write(file, TimelinePage(events, notes(fleet.unreachable)).html())
            val notes = notes(fleet.unreachable).joinToString("") { "\n" + printable(it) }
            result.copy(text = "${events.size} events written to $file$notes")
        } ?: result
    }

    private fun Raise<CommandFailure>.start(console: Console): String? = since?.let { text ->
        UnitReader.duration(text).fold(
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
}
