package boragering.scenarios

import java.io.IOException
import java.nio.file.Path

/**
 * Kills the child processes when this process is killed and runs no shutdown hook. It is a shell that reads the ids of
 * the children from its standard input, which ends with this process. It kills only processes whose command line names
 * [directory], since the id of a child that has ended can belong to another process.
 */
internal class Watchdog(directory: Path) : AutoCloseable {
    private val shell = ProcessBuilder("sh", "-c", SCRIPT, "watchdog", "$directory").start()
    private val children = shell.outputStream.writer()

    /** Adds the child process with [pid]. */
    fun guard(pid: Long) {
        children.write("$pid\n")
        children.flush()
    }

    /** Does what the end of this process does, and waits until the watchdog has acted on it. */
    internal fun parentEnds() {
        children.close()
        shell.waitFor()
    }

    /** Ends the watchdog; it kills nothing. */
    override fun close() {
        shell.destroyForcibly().waitFor()
        try {
            children.close()
        } catch (_: IOException) {
            // The other end of the pipe is gone with the shell.
        }
    }

    private companion object {
        val SCRIPT = """
            while read -r child; do children="${'$'}children ${'$'}child"; done
            for child in ${'$'}children; do
              if grep -qsF -- "${'$'}1" "/proc/${'$'}child/cmdline"; then kill -KILL "${'$'}child"; fi
            done
        """.trimIndent()
    }
}
