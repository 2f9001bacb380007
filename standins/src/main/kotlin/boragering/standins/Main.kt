package boragering.standins

import kotlin.system.exitProcess

private const val USAGE_ERROR = 2

/** Starts one stand-in; the first argument names its kind. */
fun main(arguments: Array<String>) {
    System.setProperty("log4j2.configurationFile", "standins-log4j2.xml")
    val kind = Kind.entries.firstOrNull { it.commandName == arguments.firstOrNull() }
    if (kind == null) {
        System.err.println("usage: standins ${Kind.entries.joinToString("|") { it.commandName }} [options]")
        exitProcess(USAGE_ERROR)
    }
    if (!kind.start(arguments.drop(1))) exitProcess(USAGE_ERROR)
}
