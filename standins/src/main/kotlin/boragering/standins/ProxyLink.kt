package boragering.standins

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.collectLatest
import kotlinx.coroutines.flow.distinctUntilChanged
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds

/** What happens to the bytes of one direction: held while [stalled], otherwise passed on after a delay, in order. */
@Serializable
data class DirectionFaults(val stalled: Boolean = false, val delayMilliseconds: Long = 0)

/** Faults of a proxied link. While [cut], its connections are closed and new ones are refused. */
@Serializable
data class LinkFaults(
    val cut: Boolean = false,
    val toTarget: DirectionFaults = DirectionFaults(),
    val toClient: DirectionFaults = DirectionFaults(),
)

/** Forwards connections to [target] (`host:port`) with faults. */
internal class ProxyLink(private val selector: SelectorManager, val target: String) {
    /** The faults in effect. */
    val faults = MutableStateFlow(LinkFaults())

    /** The port that the link listens on, once started. */
    var port: Int = 0
        private set

    /** Binds [requestedPort] (0 = choose) and forwards connections in [scope]. */
    suspend fun start(scope: CoroutineScope, requestedPort: Int) {
        val first = bind(requestedPort)
        port = (first.localAddress as InetSocketAddress).port
        scope.launch {
            var server: ServerSocket? = first
            faults.map { it.cut }.distinctUntilChanged().collectLatest { cut ->
                if (!cut) acceptAll((server ?: bindAgain()).also { server = null })
            }
        }
    }

    private suspend fun bind(port: Int): ServerSocket =
        aSocket(selector).tcp().bind(LOOPBACK, port) { reuseAddress = true }

    /** Another process can hold the port for a moment, as the local end of a connection of its own. */
    private suspend fun bindAgain(): ServerSocket {
        while (true) {
            try {
                return bind(port)
            } catch (_: IOException) {
                delay(bindInterval)
            }
        }
    }

    /** Forwards connections until cancelled, which closes them and the server socket. */
    private suspend fun acceptAll(server: ServerSocket) = server.use {
        coroutineScope {
            while (true) {
                val client = server.accept()
                launch { forward(client) }
            }
        }
    }

    private suspend fun forward(client: Socket) {
        try {
            val address = InetSocketAddress(target.substringBeforeLast(':'), target.substringAfterLast(':').toInt())
            aSocket(selector).tcp().connect(address).use { forward(client, it) }
        } catch (_: IOException) {
            // Either end has closed the connection; closing the other end is what follows.
        } finally {
            client.close()
        }
    }

    private suspend fun forward(client: Socket, server: Socket) = coroutineScope {
        val fromClient = client.openReadChannel()
        val toClient = client.openWriteChannel()
        val fromServer = server.openReadChannel()
        val toServer = server.openWriteChannel()
        launch { DirectionPump(fromClient, toServer, faults.map { it.toTarget }).run() }
        launch { DirectionPump(fromServer, toClient, faults.map { it.toClient }).run() }
    }

    private companion object {
        val bindInterval = 50.milliseconds
    }
}
