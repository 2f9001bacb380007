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
import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.util.concurrent.GlobalEventExecutor
import kotlinx.coroutines.CompletableDeferred
import org.apache.commons.codec.binary.Hex
import org.apache.logging.log4j.LogManager
import java.net.InetSocketAddress
import java.security.SecureRandom
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit

/**
 * Links to other daemons over TCP. A link is opened when a message is sent to a peer that has none. It carries messages
 * in both directions and is closed when nothing was received for the idle timeout. If two daemons connect to each other
 * at the same time, both links are used.
 *
 * All links run on one event loop. A daemon whose own work runs on such a loop passes it as [sharedLoop], so that a
 * message does not wake a second thread; otherwise the link has its own loop.
 */
class SocketPeerLink(
    private val settings: PeerLinkSettings,
    private val identity: HandshakeIdentity,
    private val ports: PeerLinkPorts,
    private val handler: PeerLinkHandler,
    sharedLoop: EventLoopGroup? = null,
) : PeerLink, SeedLink, AutoCloseable {
    private val ownLoop = if (sharedLoop == null) MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()) else null
    private val loop: EventLoopGroup = sharedLoop ?: checkNotNull(ownLoop)
    private val channels = DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true)
    private val secureRandom = SecureRandom()
    private val statesByPeer = ConcurrentHashMap<DaemonId, PeerLinkState>()
    private val statesByAddress = ConcurrentHashMap<String, PeerLinkState>()
    private val peersByAddress = ConcurrentHashMap<String, DaemonId>()
    private val handshakePermits = Semaphore(settings.maximumHandshakes)
    private val linkPermits = Semaphore(settings.maximumAcceptedLinks)

    /** Bytes of the messages that wait to be sent to all peers. */
    val sendBytes: Long get() = ports.sendBudget.bytes

    /** Starts to listen and returns the port number. */
    suspend fun start(): Int {
        val bootstrap = ServerBootstrap().group(loop).channel(NioServerSocketChannel::class.java)
            // Lets a restarted daemon listen again while connections of the previous process are in TIME_WAIT.
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(Initializer(::accept))
        val bound = CompletableDeferred<Channel>()
        val binding = bootstrap.bind(settings.host, settings.port)
        binding.addListener {
            if (it.isSuccess) bound.complete(binding.channel()) else bound.completeExceptionally(it.cause())
        }
        val server = bound.await()
        channels.add(server)
        return (server.localAddress() as InetSocketAddress).port
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
        channels.close()
        ownLoop?.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun enqueue(state: PeerLinkState, message: PeerMessage, address: String?, peer: DaemonId?) {
        val body = PeerCodec.encode(PeerEnvelope.serializer(), PeerEnvelope(handler.nextTimestamp(), message))
        val connectNow = address != null && state.tryStartConnecting(ports.clock.monotonic())
        if (body.size > PeerFrames.MAXIMUM_BODY_BYTES || !state.active) {
            ports.traffic.dropped(message.kind)
        } else {
            state.queue.offer(OutgoingFrame(message.kind, body))
            state.flush()
            // The last link may have ended meanwhile, after which nothing empties the queue.
            if (!state.active) state.queue.clear()
        }
        if (connectNow) connect(state, checkNotNull(address), peer)
    }

    private fun connect(linkState: PeerLinkState, address: String, expected: DaemonId?) {
        val attempt = ConnectingLink(linkState, address)
        // The address comes from another daemon, so it can have any form.
        val remote = runCatching { InetSocketAddress(host(address), port(address)) }
            .getOrElse { return attempt.onClosed(null, it) }
        Bootstrap().group(loop).channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.handshakeTimeout.inWholeMilliseconds.toInt())
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(Initializer { open(it, LinkRole.CONNECTOR, expected, attempt) })
            .connect(remote)
            .addListener { if (!it.isSuccess) attempt.onClosed(null, it.cause()) }
    }

    private fun accept(channel: Channel) {
        when {
            !linkPermits.tryAcquire() -> channel.close()
            !handshakePermits.tryAcquire() -> channel.close().also { linkPermits.release() }
            else -> open(channel, LinkRole.ACCEPTOR, null, AcceptedLink(channel.remoteAddress().toString()))
        }
    }

    private fun open(channel: Channel, role: LinkRole, expected: DaemonId?, link: Link) {
        channels.add(channel)
        val handshake = PeerHandshake(identity, role, secureRandom.nonce(), expected)
        channel.pipeline().addLast(PeerConnection(channel, handshake, settings, ports, link))
        PeerFrames.addHandshakeDecoder(channel.pipeline())
    }

    /** One link from its opening to its end. */
    private abstract inner class Link(private val name: String) : PeerConnectionListener {
        private var established: Pair<DaemonId, PeerLinkState>? = null
        private var closed = false

        /** Called when the handshake has succeeded. */
        abstract fun onReady(peer: DaemonId, peerState: PeerLinkState)

        /** Called at the end of the link; [wasReady] tells whether the handshake had succeeded. */
        abstract fun onEnd(wasReady: Boolean)

        override fun onEstablished(link: PeerFrameWriter, peer: DaemonId): PeerLinkState {
            val linkState = statesByPeer.computeIfAbsent(peer) { PeerLinkState(ports) }
            established = peer to linkState
            if (linkState.addLink(link)) handler.peerConnected(peer)
            onReady(peer, linkState)
            return linkState
        }

        override fun onEnvelope(peer: DaemonId, envelope: PeerEnvelope) = handler.receive(peer, envelope)

        override fun onClosed(link: PeerFrameWriter?, failure: Throwable?) {
            if (closed) return
            closed = true
            log.info("{} ended: {}", name, failure?.toString() ?: "closed")
            val (peer, linkState) = established ?: return onEnd(wasReady = false)
            onEnd(wasReady = true)
            if (link != null && linkState.removeLink(link)) {
                statesByPeer.remove(peer, linkState)
                linkState.queue.clear()
                handler.peerDisconnected(peer)
            }
        }
    }

    private inner class ConnectingLink(private val linkState: PeerLinkState, private val address: String) :
        Link("link to $address") {
        override fun onReady(peer: DaemonId, peerState: PeerLinkState) {
            peersByAddress[address] = peer
            linkState.moveQueueTo(peerState)
            linkState.connectSucceeded()
        }

        override fun onEnd(wasReady: Boolean) {
            if (!wasReady) linkState.connectFailed(ports.clock.monotonic())
        }
    }

    private inner class AcceptedLink(address: String) : Link("link from $address") {
        override fun onReady(peer: DaemonId, peerState: PeerLinkState) = handshakePermits.release()

        override fun onEnd(wasReady: Boolean) {
            if (!wasReady) handshakePermits.release()
            linkPermits.release()
        }
    }

    private class Initializer(private val action: (Channel) -> Unit) : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) = action(channel)
    }
}

private val log = LogManager.getLogger(SocketPeerLink::class.java)
private const val NONCE_BYTES = 16

private fun SecureRandom.nonce(): String = Hex.encodeHexString(ByteArray(NONCE_BYTES).also(::nextBytes))

private fun host(address: String): String = address.substringBeforeLast(':')

private fun port(address: String): Int = address.substringAfterLast(':').toInt()
