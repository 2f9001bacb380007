package boragering.client

import arrow.core.getOrElse
import arrow.core.raise.Raise
import arrow.core.raise.ensure
import boragering.core.catalogue.ApplyAnswer
import boragering.core.catalogue.ApplyRequest
import boragering.core.catalogue.ApplyResult
import boragering.core.catalogue.CatalogueReader
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.util.UUID

internal class ApplyCommand : RemoteCommand("Replaces the catalogue by a file, as one change.", " FILE") {
    @Argument(metaVar = "FILE", usage = "the operators' document", required = true)
    private var file: String = ""

    @Option(
        name = "--base-revision",
        metaVar = "NUMBER",
        usage = "the revision that the file is based on; without it the key \"revision\" of the file, " +
            "as 'catalogue show' writes it; 0 for the first catalogue",
    )
    private var baseRevision: Long? = null

    @Option(name = "--author", metaVar = "NAME", usage = "who makes the change; without it the name of the user")
    private var author: String = System.getProperty("user.name").orEmpty().ifBlank { "unknown" }

    @Option(
        name = "--token",
        metaVar = "TOKEN",
        usage = "token of an earlier change whose outcome is unknown; without it a new one is made",
    )
    private var token: String = UUID.randomUUID().toString()

    override suspend fun Raise<CommandFailure>.ask(daemons: Daemons, console: Console): Result {
        val text = readFile(file)
        val document = CatalogueReader.read(text).getOrElse { return findingsResult(file, it) }
        val base = baseRevision ?: document.baseRevision
        ensure(base != null) { usage("$file states no revision: give --base-revision") }
        val request = ApplyRequest(token, author, base, text)
        return result(Submission(daemons, request).submit(this))
    }

    private fun result(answer: ApplyAnswer): Result {
        val json = Answers.text(ApplyAnswer.serializer(), answer)
        return when (answer.result) {
            ApplyResult.ACCEPTED -> Result(ExitCode.SUCCESS, accepted(answer), json)
            ApplyResult.CONFLICT -> Result(ExitCode.REFUSED, conflict(answer), json)
            ApplyResult.INVALID -> findingsResult(file, answer.findings)
            ApplyResult.UNAVAILABLE -> Result(ExitCode.UNREACHABLE, "not applied: ${answer.detail}", json)
            ApplyResult.UNKNOWN -> Result(ExitCode.UNKNOWN, unknown(answer), json)
        }
    }

    private fun accepted(answer: ApplyAnswer) =
        listOfNotNull("accepted as revision ${answer.revision}", answer.detail, answer.changed.joinToString())
            .filter { it.isNotEmpty() }.joinToString("\n")

    private fun conflict(answer: ApplyAnswer): String = listOf(
        "not applied: ${answer.detail}",
        "changed since then: ${answer.changed.joinToString().ifEmpty { "nothing that the history shows" }}",
        "of these also changed by this file: ${answer.conflicting.joinToString().ifEmpty { "none" }}",
        "Run 'boragerctl catalogue show', repeat the change on its output, and apply that.",
    ).joinToString("\n")

    private fun unknown(answer: ApplyAnswer): String = listOf(
        "it is not known whether the change was accepted: ${answer.detail}",
        "Run the same command with --token $token to learn the outcome; it is not applied twice.",
    ).joinToString("\n")
}
