package boragering.scenarios

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readText
import kotlin.time.Duration

/** A process that the driver started; its standard output and errors go to files. */
class ChildProcess internal constructor(
    /** Names the process in files and messages. */
    val name: String,
    private val process: Process,
    private val outputFile: Path,
    private val errorFile: Path,
) {
    /** The process id. */
    val pid: Long = process.pid()

    /** Whether the process has not ended; a paused process is alive. */
    val isAlive: Boolean get() = process.isAlive

    /** Standard output so far. */
    val output: String get() = outputFile.readText()

    /** Standard errors so far. */
    val errors: String get() = errorFile.readText()

    /** Sends [signal]; a process that has ended gets none, since its id can belong to another process by now. */
    fun signal(signal: Signal) {
        if (isAlive) ProcessBuilder("kill", signal.option, "$pid").inheritIO().start().waitFor()
    }

    /** Waits for the end of the process and returns its exit code. */
    suspend fun awaitExit(limit: Duration = conditionLimit): Int =
        await("$name (process $pid) ends", limit) { if (isAlive) null else process.exitValue() }

    /** Waits until [find] finds something in the standard output; fails at once when the process ends before. */
    internal suspend fun <T : Any> awaitOutput(what: String, find: (String) -> T?): T =
        await("$name: $what") {
            val found = withContext(Dispatchers.IO) { find(output) }
            check(found != null || isAlive) { "$name ended with exit code ${process.exitValue()}: $errors" }
            found
        }

    /** Kills the process and waits until it is gone. */
    internal fun end() {
        process.destroyForcibly()
        process.waitFor(END_SECONDS, TimeUnit.SECONDS)
    }

    private companion object {
        const val END_SECONDS = 10L
    }
}
