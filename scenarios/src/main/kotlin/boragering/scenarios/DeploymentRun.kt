package boragering.scenarios

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.deleteRecursively

/**
 * Starts the platform, the instances and the daemons of a plan, applies its catalogue, runs [scenario], and ends all
 * processes whatever happens. The directory with logs and journals is deleted after success; a failure names it.
 */
suspend fun <T> DeploymentPlan.run(programs: Programs = Programs.locate(), scenario: suspend Deployment.() -> T): T =
    runPlatform(programs) {
        startDaemons()
        if (daemons.isNotEmpty()) applyCatalogue()
        scenario()
    }

/** As [run], but starts no daemon and applies no catalogue; [scenario] decides when it does. */
@OptIn(ExperimentalPathApi::class)
suspend fun <T> DeploymentPlan.runPlatform(
    programs: Programs = Programs.locate(),
    scenario: suspend Deployment.() -> T,
): T {
    check(programs.missing.isEmpty()) { "build the project first; missing: ${programs.missing}" }
    val directory = Files.createTempDirectory("boragering-scenario-")
    val processes = ChildProcesses(directory)
    var succeeded = false
    try {
        return ControlClient().use { client ->
            val deployment = DeploymentStart(this, directory, Launcher(programs, processes, client)).run()
            deployment.scenario().also { succeeded = true }
        }
    } finally {
        processes.close()
        if (succeeded) directory.deleteRecursively() else System.err.println(failure(directory, processes))
    }
}

/** What helps to explain a failure: the last lines of every process that wrote errors. */
private fun failure(directory: Path, processes: ChildProcesses): String =
    processes.all.filter { it.errors.isNotBlank() }.joinToString("\n", "logs are kept in $directory\n") {
        "${it.name}: ${it.errors.trimEnd().lines().takeLast(SHOWN_LINES).joinToString("\n  ")}"
    }

private const val SHOWN_LINES = 5
