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
 * Runs the daemon until the process is told to terminate, then stops it gracefully and exits with 0. A signal handler
 * is used because shutdown hooks run all at once, and the HTTP servers' own hooks would cut requests off.
 */
internal fun runDaemon(settings: Settings, secrets: Secrets): Nothing {
    val stopRequested = CountDownLatch(1)
    listOf("TERM", "INT").forEach { name -> Signal.handle(Signal(name)) { stopRequested.countDown() } }
    val failures =
        CoroutineExceptionHandler { _, failure ->
            // A loop that ends would leave the daemon running without a part of its work; the platform replaces it.
            logger.fatal("a loop of the daemon failed", failure)
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
