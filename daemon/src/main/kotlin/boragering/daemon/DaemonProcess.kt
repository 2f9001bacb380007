package boragering.daemon

import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.runBlocking
import org.apache.logging.log4j.LogManager
import sun.misc.Signal
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

private val logger = LogManager.getLogger("boragering.daemon")

/**
 * Runs the daemon until the process receives SIGTERM or SIGINT, then stops it gracefully and exits with 0. A signal
 * handler is used because shutdown hooks run concurrently, and the HTTP servers' own hooks would abort requests.
 */
internal fun runDaemon(settings: Settings, secrets: Secrets): Nothing {
    val stopRequested = CountDownLatch(1)
    listOf("TERM", "INT").forEach { name -> Signal.handle(Signal(name)) { stopRequested.countDown() } }
    val failures =
        CoroutineExceptionHandler { _, failure ->
            // Without this loop the daemon would run on with part of its work undone, so the process exits at once. The
            // platform then replaces the daemon.
            logger.fatal("a background loop of the daemon failed; the process exits", failure)
            Runtime.getRuntime().halt(EXIT_FAILURE)
        }
    val daemon = Daemon(settings, secrets, CoroutineScope(SupervisorJob() + Dispatchers.Default + failures))
    runBlocking { daemon.start() }
    stopRequested.await()
    runBlocking { daemon.stop() }
    LogManager.shutdown()
    exitProcess(0)
}

private const val EXIT_FAILURE = 70
