package boragering.daemon

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import boragering.core.Finding
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.system.exitProcess

private const val EXIT_FINDINGS = 1
private const val EXIT_USAGE = 2

/** Command-line options of `boragered`. */
internal class DaemonOptions {
    @field:Option(name = "--settings", metaVar = "FILE", usage = "start with the settings in FILE")
    var settings: String? = null

    @field:Option(name = "--check-settings", metaVar = "FILE", usage = "check the settings in FILE and end")
    var checkSettings: String? = null

    @field:Option(name = "--help", aliases = ["-h"], help = true, usage = "show this text")
    var help: Boolean = false
}

/** Starts the daemon or checks a settings file, as the command-line [arguments] say. */
fun main(arguments: Array<String>) {
    val options = DaemonOptions()
    val parser = CmdLineParser(options)
    try {
        parser.parseArgument(arguments.toList())
    } catch (exception: CmdLineException) {
        System.err.println(exception.message)
        printUsage(parser)
        exitProcess(EXIT_USAGE)
    }
    val settings = options.settings
    val settingsToCheck = options.checkSettings
    when {
        options.help -> printUsage(parser)
        settingsToCheck != null -> checkSettingsFile(settingsToCheck)
        settings != null -> startDaemon(settings)
        else -> {
            System.err.println("one of --settings and --check-settings must be given")
            printUsage(parser)
            exitProcess(EXIT_USAGE)
        }
    }
}

private fun printUsage(parser: CmdLineParser) {
    System.err.println("boragered: routes requests to model groups and services")
    parser.printUsage(System.err)
}

private fun checkSettingsFile(file: String) =
    readSettings(file).fold({ exitWithFindings(file, it) }, { println("$file: no findings") })

private fun startDaemon(file: String) {
    val (settings, secrets) =
        readSettings(file)
            .flatMap { settings -> readSecrets(settings).map { settings to it } }
            .fold({ exitWithFindings(file, it) }, { it })
    runDaemon(settings, secrets)
}

private fun readSettings(file: String): Either<List<Finding>, Settings> =
    try {
        SettingsReader.read(Path.of(file).readText())
    } catch (failure: IOException) {
        listOf(Finding("", "cannot be read: ${failure.message}", "a readable file")).left()
    }

private fun readSecrets(settings: Settings): Either<List<Finding>, Secrets> {
    val reader = SecretReader(System::getenv)
    val peers = reader.read("peers", settings.peerSecret)
    val operators = reader.read("operators", settings.operatorToken)
    val findings = listOfNotNull(peers.leftOrNull(), operators.leftOrNull())
    return if (findings.isNotEmpty()) {
        findings.left()
    } else {
        Secrets(peers.getOrNull().orEmpty(), operators.getOrNull().orEmpty()).right()
    }
}

private fun exitWithFindings(file: String, findings: List<Finding>): Nothing {
    for (finding in findings) {
        val line = finding.line?.let { ":$it" }.orEmpty()
        val expected = finding.expected?.let { "; expected $it" }.orEmpty()
        System.err.println("$file$line: ${finding.path}: ${finding.message}$expected")
    }
    exitProcess(EXIT_FINDINGS)
}
