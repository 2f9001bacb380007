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
 * Links to other daemons over TCP. A link is opened when there is a message for a peer without one, serves both
 * directions, and is closed when nothing was received for some time. When two daemons connect to each other at the same
 * time, both links serve.
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
    private val peers = ConcurrentHashMap<DaemonId, Outbox>()
    private val addresses = ConcurrentHashMap<String, Outbox>()
    private val daemons = ConcurrentHashMap<String, DaemonId>()
    private val handshakes = Semaphore(settings.handshakes)
    private val links = Semaphore(settings.links)

    @Volatile
    private var listening: ServerSocket? = null

    /** Starts to listen and returns the port. */
    suspend fun start(): Int {
        val server = aSocket(selector).tcp().bind(settings.host, settings.port) {
            // A restarted daemon can listen again while links of its predecessor are still in TIME_WAIT.
            reuseAddress = true
        }
        listening = server
        scope.launch { accept(server) }
        return (server.localAddress as InetSocketAddress).port
    }

    override fun send(to: DaemonId, message: PeerMessage) {
        val address = handler.address(to)
        val outbox = peers[to] ?: address?.let { peers.computeIfAbsent(to) { Outbox(ports) } }
        if (outbox == null) {
            ports.traffic.dropped(message.kind)
        } else {
            post(outbox, message, address, to)
        }
    }

    override fun sendToAddress(address: String, message: PeerMessage) {
        val known = daemons[address]?.takeIf { peers[it]?.active == true }
        if (known != null) {
            send(known, message)
        } else {
            post(addresses.computeIfAbsent(address) { Outbox(ports) }, message, address, null)
        }
    }

    override fun reconnect(daemon: DaemonId) {
        peers[daemon]?.closeLinks()
    }

    override fun close() {
        listening?.close()
        scope.cancel()
        selector.close()
    }

    private fun post(outbox: Outbox, message: PeerMessage, address: String?, expected: DaemonId?) {
        val body = PeerCodec.encode(PeerEnvelope.serializer(), PeerEnvelope(handler.stamp(), message))
        val claimed = address != null && outbox.claimConnect(ports.clock.monotonic())
        if (body.size > PeerFrames.LIMIT || !outbox.active) {
            ports.traffic.dropped(message.kind)
        } else {
            outbox.queue.offer(OutgoingFrame(message.kind, body))
        }
        if (claimed) scope.launch { guarded("link to $address") { connect(outbox, checkNotNull(address), expected) } }
    }

    private suspend fun connect(outbox: Outbox, address: String, expected: DaemonId?) {
        var connected = false
        try {
            val socket = withTimeoutOrNull(settings.handshakeTime) {
                aSocket(selector).tcp().connect(InetSocketAddress(host(address), port(address)))
            } ?: throw IOException("no connection within ${settings.handshakeTime}")
            serve(socket, PeerHandshake(identity, LinkRole.CONNECTOR, secureRandom.nonce(), expected)) { peer, target ->
                connected = true
                daemons[address] = peer
                outbox.moveTo(target)
                outbox.connected()
            }
        } finally {
            if (!connected) outbox.failed(ports.clock.monotonic())
        }
    }

    private suspend fun accept(server: ServerSocket) = server.use {
        while (!server.isClosed) {
            guarded("accepting links") {
                val socket = server.accept()
                when {
                    !links.tryAcquire() -> socket.close()
                    !handshakes.tryAcquire() -> socket.close().also { links.release() }
                    else -> scope.launch { answer(socket) }
                }
            }
        }
    }

    private suspend fun answer(socket: Socket) {
        var waiting = true
        try {
            guarded("link from ${socket.remoteAddress}") {
                serve(socket, PeerHandshake(identity, LinkRole.ACCEPTOR, secureRandom.nonce())) { _, _ ->
                    waiting = false
                    handshakes.release()
                }
            }
        } finally {
            if (waiting) handshakes.release()
            links.release()
        }
    }

    private suspend fun serve(socket: Socket, protocol: PeerHandshake, established: (DaemonId, Outbox) -> Unit) {
        PeerFrames(socket).use { frames ->
            val peer = withTimeoutOrNull(settings.handshakeTime) { protocol.authenticate(frames) }
                ?: throw HandshakeException("no handshake within ${settings.handshakeTime}")
            val outbox = peers.computeIfAbsent(peer) { Outbox(ports) }
            if (outbox.opened(frames)) handler.opened(peer)
            try {
                established(peer, outbox)
                PeerConnection(peer, frames, outbox, settings, ports, handler::receive).run()
            } finally {
                if (outbox.closed(frames)) {
                    peers.remove(peer, outbox)
                    outbox.queue.clear()
                    handler.closed(peer)
                }
            }
        }
    }
}

private val log = LogManager.getLogger(SocketPeerLink::class.java)
private val ACCEPT_RETRY = 100.milliseconds
private const val NONCE_BYTES = 16

private fun SecureRandom.nonce(): String = Hex.encodeHexString(ByteArray(NONCE_BYTES).also(::nextBytes))

private fun host(address: String): String = address.substringBeforeLast(':')

private fun port(address: String): Int = address.substringAfterLast(':').toInt()

/** Runs [action]; its failure ends only this link. */
private suspend fun guarded(what: String, action: suspend () -> Unit) {
    try {
        action()
    } catch (cancelled: CancellationException) {
        throw cancelled
        // The socket library and the address parser throw several kinds of exceptions.
    } catch (@Suppress("TooGenericExceptionCaught") failure: Exception) {
        log.info("{} ended: {}", what, failure.toString())
        delay(ACCEPT_RETRY)
    }
}
