package boragering.client

import arrow.core.getOrElse
import arrow.core.raise.Raise
import boragering.core.Finding
import boragering.core.catalogue.CatalogueAnswer
import boragering.core.catalogue.CatalogueDiff
import boragering.core.catalogue.CatalogueDifference
import boragering.core.catalogue.CatalogueDocument
import boragering.core.catalogue.CatalogueReader
import boragering.core.catalogue.HistoryAnswer
import boragering.core.timeline.TimelineText
import kotlinx.serialization.Serializable
import org.kohsuke.args4j.Argument

/** Findings of a document, as `--output json` prints them. */
@Serializable
internal data class ValidateAnswer(val valid: Boolean, val findings: List<Finding>)

internal fun findingsResult(file: String, findings: List<Finding>): Result {
    val text = if (findings.isEmpty()) "$file is valid" else findings.joinToString("\n") { line(file, it) }
    val answer = ValidateAnswer(findings.isEmpty(), findings)
    val exitCode = if (findings.isEmpty()) ExitCode.SUCCESS else ExitCode.REFUSED
    return Result(exitCode, text, Answers.text(ValidateAnswer.serializer(), answer))
}

internal fun line(file: String, finding: Finding): String {
    val place = listOfNotNull(file, finding.line?.toString()).joinToString(":")
    val subject = finding.path.ifEmpty { "the document" }
    return "$place: $subject ${finding.message}" + finding.expected?.let { "; expected $it" }.orEmpty()
}

internal class ValidateCommand : Command("Checks a catalogue file without asking a daemon.", " FILE") {
    @Argument(metaVar = "FILE", usage = "the operators' document", required = true)
    private var file: String = ""

    override suspend fun Raise<CommandFailure>.execute(console: Console): Result =
        findingsResult(file, CatalogueReader.read(readFile(file)).leftOrNull().orEmpty())
}

internal class ShowCommand : RemoteCommand(
    "Prints the catalogue in force, with its revision, as a file that can be edited and applied.",
) {
    override suspend fun Raise<CommandFailure>.ask(daemons: Daemons, console: Console): Result {
        val answer = daemons.read(this, OperatorCall("/operator/catalogue"), CatalogueAnswer.serializer())
        return Result(ExitCode.SUCCESS, answer.catalogue, Answers.text(CatalogueAnswer.serializer(), answer))
    }
}

internal class DiffCommand : RemoteCommand("Shows what applying a file would change.", " FILE") {
    @Argument(metaVar = "FILE", usage = "the operators' document", required = true)
    private var file: String = ""

    override suspend fun Raise<CommandFailure>.ask(daemons: Daemons, console: Console): Result {
        val text = readFile(file)
        val document = CatalogueReader.read(text).getOrElse { return findingsResult(file, it) }
        val answer = daemons.read(this, OperatorCall("/operator/catalogue"), CatalogueAnswer.serializer())
        val current = CatalogueReader.read(answer.catalogue).getOrElse {
            raise(CommandFailure(ExitCode.REFUSED, "the daemon's catalogue is of another version of the program"))
        }
        return result(document, answer.revision, CatalogueDiff.between(current.catalogue, document.catalogue))
    }

    private fun result(document: CatalogueDocument, revision: Long, differences: List<CatalogueDifference>): Result {
        val base = document.baseRevision
        val notice = "The file is based on revision $base; the current one is $revision.\n"
            .takeIf { base != null && base != revision }.orEmpty()
        val lines = differences.joinToString("\n") { difference ->
            (listOf("${difference.kind.name.lowercase()} ${difference.name}") + difference.details.map { "  $it" })
                .joinToString("\n")
        }
        val answer = DiffAnswer(base, revision, differences)
        return Result(
            ExitCode.SUCCESS,
            notice + lines.ifEmpty { "no differences" },
            Answers.text(DiffAnswer.serializer(), answer),
        )
    }

    @Serializable
    private data class DiffAnswer(
        val baseRevision: Long?,
        val currentRevision: Long,
        val differences: List<CatalogueDifference>,
    )
}

internal class HistoryCommand : RemoteCommand("Lists the latest accepted changes, newest first.") {
    override suspend fun Raise<CommandFailure>.ask(daemons: Daemons, console: Console): Result {
        val answer = daemons.read(this, OperatorCall("/operator/catalogue/history"), HistoryAnswer.serializer())
        val rows = answer.revisions.map {
            val time = TimelineText.time(it.atMilliseconds)
            listOf(it.revision.toString(), time, it.author, it.token, it.changed.joinToString())
        }
        val text = table(listOf("REVISION", "TIME", "AUTHOR", "TOKEN", "CHANGED"), rows)
        return Result(ExitCode.SUCCESS, text, Answers.text(HistoryAnswer.serializer(), answer))
    }
}
