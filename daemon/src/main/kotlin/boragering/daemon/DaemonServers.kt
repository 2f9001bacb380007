package boragering.daemon

import io.ktor.server.application.Application
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine

/** The daemon's HTTP servers for callers and for operators. */
internal class DaemonServers(listen: Addresses, callers: CallerServer, operators: OperatorServer) {
    private val servers =
        listOf(
            server(listen.callers) { callers.install(this) },
            server(listen.operators) { operators.install(this) },
        )

    /** Starts listening. */
    fun start() = servers.forEach { it.start(wait = false) }

    /** Stops the servers. Requests still in progress after the grace period are aborted. */
    fun stop() = servers.forEach { it.stop(GRACE_MILLISECONDS, TIMEOUT_MILLISECONDS) }

    private fun server(
        address: SocketAddress,
        module: Application.() -> Unit,
    ): EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration> =
        embeddedServer(Netty, host = address.host, port = address.port, module = module)

    private companion object {
        const val GRACE_MILLISECONDS = 200L
        const val TIMEOUT_MILLISECONDS = 1_000L
    }
}
