package boragering.scenarios

import java.nio.file.Path

/** One daemon. Its addresses stay the same when it is started again. */
class DaemonHandle internal constructor(
    private val launcher: Launcher,
    /** The settings that the daemon is started with. */
    val settings: DaemonSettings,
    private val settingsFile: Path,
    operatorToken: String,
    /** The daemon's own links to the platform, when it is proxied. */
    val links: PlatformLinks?,
) {
    private val client = launcher.client

    /** The running process, or the last one. */
    lateinit var process: ChildProcess
        private set

    /** Name of the daemon in files and messages. */
    val name: String get() = settings.name

    /** `host:port` for callers. */
    val callers: String get() = settings.listen.callers

    /** The port for operators. */
    val operators: OperatorPort = OperatorPort(launcher.client, settings.listen.operators, operatorToken)

    /** Starts the daemon. */
    fun start() {
        process = launcher.processes.start(name, launcher.programs.daemon(settingsFile))
    }

    /** Waits until the process serves its operator port. */
    suspend fun awaitLive() = awaitTrue("$name is live") {
        check(process.isAlive) { "$name has ended: ${process.errors.takeLast(SHOWN)}" }
        client.get(operators.address, "/live").isSuccess
    }

    /** Whether the daemon takes requests. */
    suspend fun isReady(): Boolean = client.get(operators.address, "/ready").isSuccess

    /** Waits until the daemon takes requests. */
    suspend fun awaitReady() = awaitTrue("$name is ready") { isReady() }

    private companion object {
        const val SHOWN = 2000
    }
}

/** A daemon's links to the platform's services. */
class PlatformLinks(val store: LinkHandle, val liveList: LinkHandle)
