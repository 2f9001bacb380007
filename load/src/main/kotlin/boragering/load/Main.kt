package boragering.load

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import kotlin.io.path.writeText
import kotlin.system.exitProcess

/** Runs a workload; exit code 2 for wrong options or a wrong workload file. */
fun main(arguments: Array<String>) {
    System.setProperty("log4j2.configurationFile", "standins-log4j2.xml")
    val options = LoadOptions()
    val parser = CmdLineParser(options)
    try {
        parser.parseArgument(arguments.toList())
        val workload = options.read()
        val runs = options.selections.map { measure(workload, it, options.halfDirect) }
        options.json?.writeText(json.encodeToString(runs.map { it.summary }))
        options.html?.writeText(LoadPage(workload, runs).html())
    } catch (wrong: CmdLineException) {
        fail(parser, wrong)
    } catch (wrong: IllegalArgumentException) {
        fail(parser, wrong)
    }
    exitProcess(0)
}

private fun measure(workload: Workload, selection: String, halfDirect: Boolean): PageRun {
    val result = runBlocking { LoadRun(workload, selection, halfDirect).run() }
    val summary = LoadSummary.of(workload, selection, result)
    println(table(summary))
    if (halfDirect) println(addedTime(result.samples))
    println()
    return PageRun(summary, result.samples)
}

private val json = Json { prettyPrint = true }

private fun fail(parser: CmdLineParser, wrong: Exception) {
    System.err.println(wrong.message)
    parser.printUsage(System.err)
    exitProcess(2)
}
