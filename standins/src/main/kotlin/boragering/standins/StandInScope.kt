package boragering.standins

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import java.io.OutputStream
import kotlin.concurrent.thread
import kotlin.system.exitProcess

/** Where a stand-in runs: [scope] lives as long as the process, [selector] serves all its sockets. */
internal class StandInScope(val scope: CoroutineScope, val selector: SelectorManager) {
    /** Serves HTTP on [port] (0 = choose) and tells the parent process the port. */
    suspend fun listen(port: Int, handler: RequestHandler) {
        val listener = HttpListener.start(scope, selector, port, handler)
        println("listening ${listener.port}")
        System.out.flush()
    }
}

/** Runs a stand-in until the process ends; false when [arguments] do not fit [options]. */
internal fun <T : PortOptions> runStandIn(
    arguments: List<String>,
    options: T,
    start: suspend StandInScope.(T) -> Unit,
): Boolean {
    val valid = parse(arguments, options)
    if (valid) {
        if (options.endWithInput) endWithInput()
        runBlocking(Dispatchers.Default) {
            val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
            StandInScope(scope, SelectorManager(Dispatchers.IO)).start(options)
            awaitCancellation()
        }
    }
    return valid
}

private fun endWithInput() = thread(isDaemon = true, name = "input") {
    System.`in`.copyTo(OutputStream.nullOutputStream())
    exitProcess(0)
}
