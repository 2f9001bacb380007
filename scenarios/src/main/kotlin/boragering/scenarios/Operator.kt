package boragering.scenarios

import java.nio.file.Path

/** How a run of `boragerctl` ended. */
data class CommandResult(val exitCode: Int, val output: String, val errors: String)

/** Runs `boragerctl` against the daemons of a deployment. */
class Operator internal constructor(
    private val launcher: Launcher,
    private val tokenFile: Path,
    private val daemons: List<String>,
) {
    /** Runs a command that asks daemons, for example `listOf("groups")`. */
    suspend fun ask(command: List<String>): CommandResult =
        run(command + daemons.flatMap { listOf("--daemon", it) } + listOf("--token-file", "$tokenFile"))

    /** Runs any command line. */
    suspend fun run(arguments: List<String>): CommandResult {
        val process = launcher.processes.start("boragerctl", launcher.programs.client(arguments))
        val exitCode = process.awaitExit()
        return CommandResult(exitCode, process.output, process.errors)
    }
}
