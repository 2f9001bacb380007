package boragering.adapters

import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.membership.LockedRandom
import boragering.core.membership.PeerEnvelope
import boragering.core.membership.PeerTrafficMetrics
import boragering.core.timeline.HybridTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The listen address and the limits of a [SocketPeerLink].
 *
 * @property port port to listen on; 0 selects any free port.
 * @property handshakeTimeout limit for connecting, and again for the handshake.
 * @property idleTimeout a link on which nothing was received for this time is closed.
 * @property maximumHandshakes maximum number of accepted connections whose handshake is in progress.
 * @property maximumAcceptedLinks maximum number of accepted connections.
 */
data class PeerLinkSettings(
    val host: String,
    val port: Int,
    val handshakeTimeout: Duration = DEFAULT_HANDSHAKE_TIMEOUT,
    val idleTimeout: Duration = DEFAULT_IDLE_TIMEOUT,
    val maximumHandshakes: Int = DEFAULT_MAXIMUM_HANDSHAKES,
    val maximumAcceptedLinks: Int = DEFAULT_MAXIMUM_ACCEPTED_LINKS,
) {
    /** Default limits. */
    companion object {
        /** Default limit for connecting, and again for the handshake. */
        val DEFAULT_HANDSHAKE_TIMEOUT = 3.seconds

        /** A link on which nothing was received for this time is closed, whether the peer is idle or unreachable. */
        val DEFAULT_IDLE_TIMEOUT = 30.seconds

        /** Accepted connections whose handshake is in progress. Further connections are closed immediately. */
        const val DEFAULT_MAXIMUM_HANDSHAKES = 64

        /** Accepted connections: twice the links of a daemon that is connected to 430 others in both directions. */
        const val DEFAULT_MAXIMUM_ACCEPTED_LINKS = 1_720
    }
}

/** The dependencies of a [SocketPeerLink]. */
class PeerLinkPorts(val clock: Clock, random: Random, val traffic: PeerTrafficMetrics) {
    internal val random: Random = LockedRandom(random)
    internal val sendBudget = SendBudget(clock)
}

/**
 * Callbacks by which a [SocketPeerLink] queries and notifies the daemon. They are called by several threads and must
 * not block.
 */
interface PeerLinkHandler {
    /** Returns the address (`host:port`) of [daemon], or `null` if it is unknown. */
    fun address(daemon: DaemonId): String?

    /** Returns the timestamp for a message that is sent now. */
    fun nextTimestamp(): HybridTime

    /** Handles a message that the authenticated daemon [from] sent. */
    fun receive(from: DaemonId, envelope: PeerEnvelope)

    /** Called when a link to [peer] was established and is its only one. */
    fun peerConnected(peer: DaemonId) = Unit

    /** Called when the last link to [peer] was closed. */
    fun peerDisconnected(peer: DaemonId) = Unit
}
