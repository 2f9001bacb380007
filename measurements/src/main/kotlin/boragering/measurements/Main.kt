package boragering.measurements

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import kotlin.system.exitProcess

private const val USAGE_ERROR = 2
private const val DEFAULT_REPETITIONS = 7

/** The command line. */
class Arguments {
    /** The subcommand. */
    @Argument(required = true, metaVar = "COMMAND", usage = "what to measure")
    var command: String = ""

    /** Output format. */
    @Option(name = "--output", metaVar = "json|table", usage = "output format (default: table)")
    var output: String = "table"

    /** How often each size is measured after the warm-up. */
    @Option(name = "--repetitions", metaVar = "N", usage = "repetitions of each measurement")
    var repetitions: Int = DEFAULT_REPETITIONS
}

/** Runs one measurement and prints it. */
fun main(arguments: Array<String>) {
    val options = Arguments()
    val parser = CmdLineParser(options)
    val measurement = try {
        parser.parseArgument(arguments.toList())
        Commands.all[options.command]
    } catch (fault: CmdLineException) {
        System.err.println("measure: ${fault.message}")
        null
    }
    val valid = options.output in Report.FORMATS && options.repetitions > 0
    if (measurement == null || !valid) {
        System.err.println("usage: measure ${Commands.all.keys.joinToString("|")} [options]")
        parser.printUsage(System.err)
        exitProcess(USAGE_ERROR)
    }
    val commit = System.getProperty("boragering.commit") ?: "unknown"
    val outcome = Outcome(options.command, commit, measurement.run(Probe(options.repetitions)))
    println(if (options.output == "json") Report.json(outcome) else Report.table(outcome))
}
