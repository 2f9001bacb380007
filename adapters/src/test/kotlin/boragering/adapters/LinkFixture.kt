package boragering.adapters

import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.membership.HandshakeIdentity
import boragering.core.membership.LinkRole
import boragering.core.membership.PeerEnvelope
import boragering.core.membership.PeerHandshake
import boragering.core.membership.PeerMessage
import boragering.core.membership.PeerMessageKind
import boragering.core.membership.PeerTrafficMetrics
import boragering.core.timeline.HybridTime
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.Dispatchers
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

internal val SECRET = "a shared secret".toByteArray()
private const val NONCE = "0123456789abcdef0123456789abcdef"

internal object TestClock : Clock {
    override fun wallMilliseconds() = 0L

    override fun monotonic(): Duration = System.nanoTime().nanoseconds
}

/** The [SocketPeerLink] of one daemon, with a record of received messages, open and closed links, and drops. */
internal class LinkFixture(
    name: String,
    secret: ByteArray = SECRET,
    settings: PeerLinkSettings = PeerLinkSettings("127.0.0.1", 0),
) : AutoCloseable {
    val id = DaemonId(name)
    val received = CopyOnWriteArrayList<Pair<DaemonId, PeerMessage>>()
    val connected = CopyOnWriteArrayList<DaemonId>()
    val closed = CopyOnWriteArrayList<DaemonId>()
    val addresses = HashMap<DaemonId, String>()

    @Volatile
    var dropped = 0
    var address = ""
    private val handler = object : PeerLinkHandler {
        override fun address(daemon: DaemonId) = addresses[daemon]

        override fun nextTimestamp() = HybridTime(0, 0, id)

        override fun receive(from: DaemonId, envelope: PeerEnvelope) {
            received += from to envelope.message
        }

        override fun peerConnected(peer: DaemonId) {
            connected += peer
        }

        override fun peerDisconnected(peer: DaemonId) {
            closed += peer
        }
    }
    val link = SocketPeerLink(
        settings,
        HandshakeIdentity(id, secret),
        PeerLinkPorts(TestClock, Random(1), DropCounter()),
        handler,
    )

    suspend fun start() = apply { address = "127.0.0.1:${link.start()}" }

    override fun close() = link.close()

    private inner class DropCounter : PeerTrafficMetrics by PeerTrafficMetrics.None {
        override fun dropped(kind: PeerMessageKind) {
            dropped += 1
        }
    }
}

/** A connection on which a test can send arbitrary frames. */
internal class RawConnection(private val selector: SelectorManager, val frames: PeerFrameChannel) : AutoCloseable {
    /** Performs the handshake as the daemon [name]. */
    suspend fun authenticate(name: String) {
        val identity = HandshakeIdentity(DaemonId(name), SECRET)
        PeerHandshake(identity, LinkRole.CONNECTOR, NONCE).authenticate(frames)
    }

    /** Reads frames until the other side closes the connection. */
    suspend fun awaitClosed() {
        runCatching { while (true) frames.read(PeerFrames.MAXIMUM_BODY_BYTES) }
    }

    override fun close() {
        frames.close()
        selector.close()
    }

    companion object {
        suspend fun open(address: String): RawConnection {
            val selector = SelectorManager(Dispatchers.IO)
            val port = address.substringAfterLast(':').toInt()
            return RawConnection(selector, PeerFrameChannel(aSocket(selector).tcp().connect("127.0.0.1", port)))
        }
    }
}
