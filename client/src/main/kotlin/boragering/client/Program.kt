package boragering.client

import arrow.core.getOrElse
import kotlinx.serialization.Serializable
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.ParserProperties
import java.io.PrintStream

/** The operators' client: finds the command, runs it and prints its result. */
class Program(private val console: Console) {
    private val commands: Map<String, () -> Command> = linkedMapOf(
        "catalogue validate" to ::ValidateCommand,
        "catalogue show" to ::ShowCommand,
        "catalogue diff" to ::DiffCommand,
        "catalogue apply" to ::ApplyCommand,
        "catalogue history" to ::HistoryCommand,
        "configuration check" to ::ConfigurationCheckCommand,
        "status" to ::StatusCommand,
        "groups" to ::GroupsCommand,
        "requests" to ::RequestsCommand,
        "timeline" to ::TimelineCommand,
    )

    /** Runs the command line [arguments]. */
    suspend fun run(arguments: List<String>): ExitCode {
        val name = commands.keys.firstOrNull { arguments.take(it.split(' ').size).joinToString(" ") == it }
        return when {
            name != null -> run(name, commands.getValue(name)(), arguments.drop(name.split(' ').size))
            arguments.any { it in HELP } -> ExitCode.SUCCESS.also { usage(console.out) }
            else -> usageError("there is no command '${arguments.take(2).joinToString(" ")}'") { usage(it) }
        }
    }

    private suspend fun run(name: String, command: Command, arguments: List<String>): ExitCode {
        val properties = ParserProperties.defaults().withUsageWidth(USAGE_WIDTH).withShowDefaults(false)
        val parser = CmdLineParser(command, properties)
        val fault = fault(parser, arguments)
        return when {
            command.help -> ExitCode.SUCCESS.also { usage(name, command, parser, console.out) }
            fault != null -> usageError(fault) { usage(name, command, parser, it) }
            else -> finish(command)
        }
    }

    private suspend fun finish(command: Command): ExitCode {
        val result = command.run(console).getOrElse { failure ->
            console.err.println("boragerctl: ${printable(failure.detail)}")
            val json = Answers.text(ErrorAnswer.serializer(), ErrorAnswer(failure.exitCode.name, failure.detail))
            Result(failure.exitCode, "", json)
        }
        val text = if (command.output == Output.JSON) result.json else result.text
        if (text.isNotEmpty()) console.out.println(text.trimEnd('\n'))
        console.out.flush()
        return result.exitCode
    }

    private fun fault(parser: CmdLineParser, arguments: List<String>): String? =
        try {
            parser.parseArgument(arguments)
            null
        } catch (exception: CmdLineException) {
            exception.message ?: "the command line is wrong"
        }

    private fun usageError(detail: String, usage: (PrintStream) -> Unit): ExitCode {
        console.err.println("boragerctl: ${printable(detail)}")
        usage(console.err)
        return ExitCode.USAGE
    }

    private fun usage(stream: PrintStream) {
        stream.println("Usage: boragerctl COMMAND [options]\n\nCommands:")
        val width = commands.keys.maxOf { it.length }
        commands.forEach { (name, create) -> stream.println("  ${name.padEnd(width)}  ${create().summary}") }
        stream.println("\nboragerctl COMMAND --help describes a command and its options.\n\nExit codes:")
        ExitCode.entries.forEach { stream.println("  ${it.code}  ${it.meaning}") }
    }

    private fun usage(name: String, command: Command, parser: CmdLineParser, stream: PrintStream) {
        stream.println("Usage: boragerctl $name${command.operands} [options]\n\n${command.summary}\n")
        parser.printUsage(stream)
    }

    @Serializable
    private data class ErrorAnswer(val error: String, val detail: String)

    private companion object {
        const val USAGE_WIDTH = 110
        val HELP = setOf("--help", "-h", "help")
    }
}
