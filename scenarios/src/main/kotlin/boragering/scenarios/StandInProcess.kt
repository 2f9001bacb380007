package boragering.scenarios

/** What handles need to start programs. */
internal class Launcher(val programs: Programs, val processes: ChildProcesses, val client: ControlClient)

/** The process of one or more stand-ins of a kind; [count] is how many `listening` lines it prints. */
internal class StandInProcess private constructor(
    private val launcher: Launcher,
    private val name: String,
    private val kind: String,
    private val arguments: List<String>,
    private val count: Int,
) {
    /** The running process, or the last one. */
    lateinit var process: ChildProcess
        private set

    /** `host:port` of each stand-in in the process; they stay the same when it is started again. */
    lateinit var addresses: List<String>
        private set

    /** Starts the process again after its end, at the same address. */
    suspend fun restart() {
        check(count == 1) { "$name has $count instances; only a process of one instance can be started again" }
        check(!process.isAlive) { "$name still runs" }
        launch(listOf("--port", addresses.single().substringAfterLast(':')))
    }

    private suspend fun launch(port: List<String>) {
        process = launcher.processes.start(name, launcher.programs.standIn(kind, arguments + port))
        addresses = process.awaitOutput("prints its ports") { output ->
            LISTENING.findAll(output).map { "$LOOPBACK:${it.groupValues[1]}" }.toList().takeIf { it.size == count }
        }
    }

    companion object {
        private const val LOOPBACK = "127.0.0.1"
        private val LISTENING = Regex("listening (\\d+)\n")

        /** Starts a process and waits until its stand-ins listen. */
        suspend fun start(
            launcher: Launcher,
            name: String,
            kind: String,
            arguments: List<String> = emptyList(),
            count: Int = 1,
        ) = StandInProcess(launcher, name, kind, arguments, count).apply { launch(emptyList()) }
    }
}
