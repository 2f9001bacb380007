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

/** Where a [SocketPeerLink] listens and its limits; port 0 means any free port. */
data class PeerLinkSettings(
    val host: String,
    val port: Int,
    val handshakeTimeout: Duration = DEFAULT_HANDSHAKE_TIMEOUT,
    val idleTimeout: Duration = DEFAULT_IDLE_TIMEOUT,
    val maximumHandshakes: Int = DEFAULT_MAXIMUM_HANDSHAKES,
    val maximumAcceptedLinks: Int = DEFAULT_MAXIMUM_ACCEPTED_LINKS,
) {
    /** Defaults of the limits. */
    companion object {
        /** Time for connecting and for the handshake. */
        val DEFAULT_HANDSHAKE_TIMEOUT = 3.seconds

        /** A link on which nothing was received for this time is closed, whether it is idle or dead. */
        val DEFAULT_IDLE_TIMEOUT = 30.seconds

        /** Accepted connections whose handshake is in progress; more are closed at once. */
        const val DEFAULT_MAXIMUM_HANDSHAKES = 64

        /** Accepted connections; twice the links of a daemon that is connected to 430 others in both directions. */
        const val DEFAULT_MAXIMUM_ACCEPTED_LINKS = 1_720
    }
}

/** What a [SocketPeerLink] uses. */
class PeerLinkPorts(val clock: Clock, random: Random, val traffic: PeerTrafficMetrics) {
    internal val random: Random = LockedRandom(random)
}

/** What a [SocketPeerLink] asks and tells the daemon. Called by several threads; implementations return soon. */
interface PeerLinkHandler {
    /** The address (`host:port`) of [daemon], `null` when it is not known. */
    fun address(daemon: DaemonId): String?

    /** The stamp for a message that is sent now. */
    fun nextTimestamp(): HybridTime

    /** A message of the authenticated daemon [from]. */
    fun receive(from: DaemonId, envelope: PeerEnvelope)

    /** The first link to [peer] was established. */
    fun peerConnected(peer: DaemonId) = Unit

    /** The last link to [peer] was closed. */
    fun peerDisconnected(peer: DaemonId) = Unit
}
