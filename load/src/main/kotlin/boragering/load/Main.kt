package boragering.load

import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import kotlin.system.exitProcess

/** Runs a workload; exit code 2 for wrong options or a wrong workload file. */
fun main(arguments: Array<String>) {
    System.setProperty("log4j2.configurationFile", "standins-log4j2.xml")
    val options = LoadOptions()
    val parser = CmdLineParser(options)
    try {
        parser.parseArgument(arguments.toList())
        val workload = options.read()
        println(table(LoadSummary.of(workload, runBlocking { LoadRun(workload).run() })))
    } catch (wrong: CmdLineException) {
        fail(parser, wrong)
    } catch (wrong: IllegalArgumentException) {
        fail(parser, wrong)
    }
    exitProcess(0)
}

private fun fail(parser: CmdLineParser, wrong: Exception) {
    System.err.println(wrong.message)
    parser.printUsage(System.err)
    exitProcess(2)
}
