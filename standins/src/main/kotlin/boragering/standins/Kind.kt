package boragering.standins

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.nio.file.Path
import java.util.UUID
import kotlin.time.Duration.Companion.milliseconds

/** The stand-ins that the program can start. */
internal enum class Kind(val commandName: String) {
    STORE("store") {
        override fun start(arguments: List<String>) = runStandIn(arguments, PortOptions()) { options ->
            val state = KeyValueState()
            scope.launch { expireLeases(state) }
            listen(options.port, StoreStandIn(state)::serve)
        }
    },

    LIVE_LIST("live-list") {
        override fun start(arguments: List<String>) = runStandIn(arguments, LiveListOptions()) { options ->
            listen(options.port, LiveListStandIn(duration(options.lag))::serve)
        }
    },

    ENGINE("engine") {
        override fun start(arguments: List<String>) = runStandIn(arguments, EngineOptions()) { options ->
            val process = EngineProcess(options, scope, HttpClient(CIO))
            repeat(options.count) {
                listen(options.instancePort(it), EngineStandIn(options.instanceId(it), incarnation(), process)::serve)
            }
        }
    },

    SERVICE("service") {
        override fun start(arguments: List<String>) = runStandIn(arguments, ServiceOptions()) { options ->
            val book = OrderBook(Journal(options.journal))
            repeat(options.count) {
                val service = ServiceStandIn(options.instanceId(it), incarnation(), options, book)
                listen(options.instancePort(it), service::serve)
            }
        }
    },

    PROXY("proxy") {
        override fun start(arguments: List<String>) = runStandIn(arguments, ProxyOptions()) { options ->
            val proxy = ProxyStandIn(scope, selector)
            if (options.target.isNotEmpty()) println("link ${proxy.add(options.target, options.port).port}")
            listen(options.controlPort, proxy::serve)
        }
    },

    TOKEN_HASH("token-hash") {
        override fun start(arguments: List<String>): Boolean {
            val options = TokenHashOptions()
            val valid = parse(arguments, options)
            if (valid) println(tokenHash(Path.of(options.file)))
            return valid
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

private fun incarnation(): String = UUID.randomUUID().toString()
