package boragering.standins

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlin.time.Duration.Companion.milliseconds

/** The stand-ins that the program can start. */
internal enum class Kind(val commandName: String) {
    STORE("store") {
        override fun start(arguments: List<String>) = run(arguments, PortOptions()) { options, selector ->
            val state = KeyValueState()
            launch { expireLeases(state) }
            announce(HttpListener.start(this, selector, options.port, StoreStandIn(state)::serve).port)
        }
    },
    ;

    /** Runs the stand-in until the process ends; false when [arguments] are invalid. */
    abstract fun start(arguments: List<String>): Boolean
}

private val expiryInterval = 50.milliseconds

private suspend fun expireLeases(state: KeyValueState) {
    while (true) {
        delay(expiryInterval)
        state.expireLeases()
    }
}

/** Tells the parent process that the stand-in accepts connections on [port]. */
internal fun announce(port: Int) {
    println("listening $port")
    System.out.flush()
}

private fun <T : Any> run(
    arguments: List<String>,
    options: T,
    start: suspend CoroutineScope.(T, SelectorManager) -> Unit,
): Boolean {
    val valid = parse(arguments, options)
    if (valid) {
        runBlocking(Dispatchers.Default) {
            start(options, SelectorManager(Dispatchers.IO))
            awaitCancellation()
        }
    }
    return valid
}
