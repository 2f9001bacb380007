package boragering.client

import arrow.core.raise.Raise
import boragering.core.Severity
import boragering.fleet.ConfigurationDifference
import boragering.platform.ConfigurationFileCheck
import boragering.platform.ConfigurationReport
import boragering.platform.ReportedFinding
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option

internal class ConfigurationCheckCommand : Command(
    "Checks a configuration of the users' platform before it is written to the store.",
    " FILE",
) {
    @Argument(metaVar = "FILE", usage = "the configuration to check", required = true)
    private var file: String = ""

    @Option(name = "--in-force", metaVar = "FILE", usage = "the version in force, to compare with")
    private var inForce: String? = null

    override suspend fun Raise<CommandFailure>.execute(console: Console): Result {
        val document = readBytes(file, ConfigurationFileCheck.SIZE_LIMIT)
        val previous = inForce?.let { readBytes(it, ConfigurationFileCheck.SIZE_LIMIT) }
        val report = ConfigurationFileCheck.check(document, previous)
        return Result(
            if (report.acceptable) ExitCode.SUCCESS else ExitCode.REFUSED,
            printable(text(report)),
            Answers.text(ConfigurationReport.serializer(), report),
        )
    }

    private fun text(report: ConfigurationReport): String {
        val previous = inForce.orEmpty()
        val findings = report.findings.map { line(file, it) } + report.inForceFindings.map { line(previous, it) }
        val all = report.findings + report.inForceFindings
        val counts = Severity.entries.joinToString { severity ->
            val count = all.count { it.severity == severity }
            "$count ${severity.name.lowercase()}" + if (count == 1) "" else "s"
        }
        return (findings + report.differences.map(::text) + counts).joinToString("\n")
    }

    private fun line(file: String, finding: ReportedFinding) =
        "${finding.severity.name.lowercase()}: ${line(file, finding.finding)}"

    private fun text(difference: ConfigurationDifference): String {
        val fields = difference.fields.map { "  ${it.field}: ${it.before ?: "(none)"} -> ${it.after ?: "(none)"}" }
        return (listOf("${difference.kind.name.lowercase()} ${difference.name}") + fields).joinToString("\n")
    }
}
