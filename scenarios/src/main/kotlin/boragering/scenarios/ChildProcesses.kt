package boragering.scenarios

import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

/** The child processes of one deployment; none of them outlives it or this process. */
class ChildProcesses(private val directory: Path) : AutoCloseable {
    private val children = CopyOnWriteArrayList<ChildProcess>()
    private val started = AtomicInteger()
    private val watchdog = Watchdog(directory)
    private val atExit = Thread { children.forEach { it.end() } }

    init {
        Runtime.getRuntime().addShutdownHook(atExit)
    }

    /** All processes that were started, in order; some may have ended. */
    val all: List<ChildProcess> get() = children

    /** Starts [command] with its output in files that are named after [name]. */
    @Synchronized
    fun start(name: String, command: List<String>): ChildProcess {
        val number = started.incrementAndGet()
        val output = directory.resolve("$name.$number.out")
        val errors = directory.resolve("$name.$number.err")
        val process = ProcessBuilder(command)
            .directory(directory.toFile())
            .redirectOutput(output.toFile())
            .redirectError(errors.toFile())
            .start()
        watchdog.guard(process.pid())
        return ChildProcess(name, process, output, errors).also(children::add)
    }

    /** Ends all processes that still run. */
    @Synchronized
    override fun close() {
        children.forEach { it.end() }
        watchdog.close()
        try {
            Runtime.getRuntime().removeShutdownHook(atExit)
        } catch (_: IllegalStateException) {
            // This process is ending, and the hook runs or has run.
        }
    }
}
