package boragering.client

import kotlinx.coroutines.runBlocking
import kotlin.system.exitProcess

/** Starts the program. */
fun main(arguments: Array<String>) {
    val console = Console(System.out, System.err, System.getenv())
    val exitCode = runBlocking { Program(console).run(arguments.toList()) }
    exitProcess(exitCode.code)
}
