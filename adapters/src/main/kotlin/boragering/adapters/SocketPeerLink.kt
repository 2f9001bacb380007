package boragering.adapters

import boragering.core.DaemonId
import boragering.core.membership.HandshakeIdentity
import boragering.core.membership.LinkRole
import boragering.core.membership.PeerEnvelope
import boragering.core.membership.PeerHandshake
import boragering.core.membership.PeerLink
import boragering.core.membership.PeerMessage
import boragering.core.membership.SeedLink
import boragering.core.membership.kind
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.isClosed
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.apache.commons.codec.binary.Hex
import org.apache.logging.log4j.LogManager
import java.security.SecureRandom
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

/**
 * Links to other daemons over TCP. A link is opened when a message is sent to a peer that has none. It carries messages
 * in both directions and is closed when nothing was received for the idle timeout. If two daemons connect to each other
 * at the same time, both links are used.
 */
class SocketPeerLink(
    private val settings: PeerLinkSettings,
    private val identity: HandshakeIdentity,
    private val ports: PeerLinkPorts,
    private val handler: PeerLinkHandler,
) : PeerLink, SeedLink, AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val selector = SelectorManager(Dispatchers.IO)
    private val secureRandom = SecureRandom()
    private val statesByPeer = ConcurrentHashMap<DaemonId, PeerLinkState>()
    private val statesByAddress = ConcurrentHashMap<String, PeerLinkState>()
    private val peersByAddress = ConcurrentHashMap<String, DaemonId>()
    private val handshakePermits = Semaphore(settings.maximumHandshakes)
    private val linkPermits = Semaphore(settings.maximumAcceptedLinks)

    @Volatile
    private var serverSocket: ServerSocket? = null

    /** Starts to listen and returns the port number. */
    suspend fun start(): Int {
        val server = aSocket(selector).tcp().bind(settings.host, settings.port) {
            // Lets a restarted daemon listen again while connections of the previous process are in TIME_WAIT.
            reuseAddress = true
        }
        serverSocket = server
        scope.launch { acceptConnections(server) }
        return (server.localAddress as InetSocketAddress).port
    }

    override fun send(to: DaemonId, message: PeerMessage) {
        val address = handler.address(to)
        val linkState = statesByPeer[to] ?: address?.let { statesByPeer.computeIfAbsent(to) { PeerLinkState(ports) } }
        if (linkState == null) {
            ports.traffic.dropped(message.kind)
        } else {
            enqueue(linkState, message, address, to)
        }
    }

    override fun sendToAddress(address: String, message: PeerMessage) {
        val connectedPeer = peersByAddress[address]?.takeIf { statesByPeer[it]?.active == true }
        if (connectedPeer != null) {
            send(connectedPeer, message)
        } else {
            enqueue(statesByAddress.computeIfAbsent(address) { PeerLinkState(ports) }, message, address, null)
        }
    }

    override fun reconnect(daemon: DaemonId) {
        statesByPeer[daemon]?.closeLinks()
    }

    override fun close() {
        serverSocket?.close()
        scope.cancel()
        selector.close()
    }

    private fun enqueue(state: PeerLinkState, message: PeerMessage, address: String?, peer: DaemonId?) {
        val body = PeerCodec.encode(PeerEnvelope.serializer(), PeerEnvelope(handler.nextTimestamp(), message))
        val connectNow = address != null && state.tryStartConnecting(ports.clock.monotonic())
        if (body.size > PeerFrameChannel.MAXIMUM_BODY_BYTES || !state.active) {
            ports.traffic.dropped(message.kind)
        } else {
            state.queue.offer(OutgoingFrame(message.kind, body))
        }
        if (connectNow) scope.launch { runLogged("link to $address") { connect(state, checkNotNull(address), peer) } }
    }

    private suspend fun connect(linkState: PeerLinkState, address: String, expected: DaemonId?) {
        var connected = false
        try {
            val socket = withTimeoutOrNull(settings.handshakeTimeout) {
                aSocket(selector).tcp().connect(InetSocketAddress(host(address), port(address)))
            } ?: throw IOException("no connection within ${settings.handshakeTimeout}")
            runLink(
                socket,
                PeerHandshake(identity, LinkRole.CONNECTOR, secureRandom.nonce(), expected),
            ) { peer, peerState ->
                connected = true
                peersByAddress[address] = peer
                linkState.moveQueueTo(peerState)
                linkState.connectSucceeded()
            }
        } finally {
            if (!connected) linkState.connectFailed(ports.clock.monotonic())
        }
    }

    private suspend fun acceptConnections(server: ServerSocket) = server.use {
        while (!server.isClosed) {
            runLogged("accepting a connection") {
                val socket = server.accept()
                when {
                    !linkPermits.tryAcquire() -> socket.close()
                    !handshakePermits.tryAcquire() -> socket.close().also { linkPermits.release() }
                    else -> scope.launch { serveAccepted(socket) }
                }
            }
        }
    }

    private suspend fun serveAccepted(socket: Socket) {
        var handshakePending = true
        try {
            runLogged("link from ${socket.remoteAddress}") {
                runLink(socket, PeerHandshake(identity, LinkRole.ACCEPTOR, secureRandom.nonce())) { _, _ ->
                    handshakePending = false
                    handshakePermits.release()
                }
            }
        } finally {
            if (handshakePending) handshakePermits.release()
            linkPermits.release()
        }
    }

    private suspend fun runLink(
        socket: Socket,
        handshake: PeerHandshake,
        onEstablished: (DaemonId, PeerLinkState) -> Unit,
    ) {
        PeerFrameChannel(socket).use { frames ->
            val peer = withTimeoutOrNull(settings.handshakeTimeout) { handshake.authenticate(frames) }
                ?: throw HandshakeException("no handshake within ${settings.handshakeTimeout}")
            val linkState = statesByPeer.computeIfAbsent(peer) { PeerLinkState(ports) }
            if (linkState.addLink(frames)) handler.peerConnected(peer)
            try {
                onEstablished(peer, linkState)
                PeerConnection(peer, frames, linkState, settings, ports, handler::receive).run()
            } finally {
                if (linkState.removeLink(frames)) {
                    statesByPeer.remove(peer, linkState)
                    linkState.queue.clear()
                    handler.peerDisconnected(peer)
                }
            }
        }
    }
}

private val log = LogManager.getLogger(SocketPeerLink::class.java)
private val RETRY_DELAY = 100.milliseconds
private const val NONCE_BYTES = 16

private fun SecureRandom.nonce(): String = Hex.encodeHexString(ByteArray(NONCE_BYTES).also(::nextBytes))

private fun host(address: String): String = address.substringBeforeLast(':')

private fun port(address: String): Int = address.substringAfterLast(':').toInt()

/** Runs [action]. Logs an exception and waits briefly instead of rethrowing it, so that only one link is affected. */
private suspend fun runLogged(activity: String, action: suspend () -> Unit) {
    try {
        action()
    } catch (cancelled: CancellationException) {
        throw cancelled
        // The socket library and the address parser throw several types of exceptions.
    } catch (@Suppress("TooGenericExceptionCaught") failure: Exception) {
        log.info("{} ended with an exception: {}", activity, failure.toString())
        delay(RETRY_DELAY)
    }
}
