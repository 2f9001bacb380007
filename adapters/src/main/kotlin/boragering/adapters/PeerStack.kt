package boragering.adapters

import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.Store
import boragering.core.membership.Dissemination
import boragering.core.membership.HandshakeIdentity
import boragering.core.membership.ItemReplica
import boragering.core.membership.Membership
import boragering.core.membership.MembershipPorts
import boragering.core.membership.PauseDetector
import boragering.core.membership.PeerEnvelope
import boragering.core.membership.PeerMessage
import boragering.core.membership.Registration
import boragering.core.timeline.HybridClock
import boragering.core.timeline.HybridTime
import boragering.core.timeline.Timeline
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlin.random.Random

/**
 * The identity of this daemon, its listen address, and how it authenticates and discovers other daemons.
 *
 * @property registration the data under which this daemon is known to the others.
 * @property secret the secret that all daemons share; both sides of a link prove that they know it.
 * @property seeds addresses (`host:port`) of other daemons, used to join when the store is unavailable.
 */
class PeerStackSettings(
    val registration: Registration,
    val linkSettings: PeerLinkSettings,
    val secret: ByteArray,
    val seeds: List<String>,
)

/** The dependencies of a [PeerStack]. */
class PeerStackPorts(
    val store: Store,
    val clock: Clock,
    val hybridClock: HybridClock,
    val timeline: Timeline,
    val random: Random,
    val registry: MetricRegistry,
)

/**
 * The communication of one daemon with the others: its links, its view of which daemons are live, and its replica of
 * the items that daemons disseminate. Each received message is also passed to [onMessage], on a thread of the link.
 *
 * @param sharedLoop the event loop on which the links run; `null` if they are to have their own.
 */
class PeerStack(
    settings: PeerStackSettings,
    private val ports: PeerStackPorts,
    sharedLoop: EventLoopGroup? = null,
    private val onMessage: (DaemonId, PeerMessage) -> Unit,
) {
    /** This daemon's replica of the items that daemons disseminate. */
    val items = ItemReplica(ports.clock)

    /** The links to other daemons. */
    val link = SocketPeerLink(
        settings.linkSettings,
        HandshakeIdentity(settings.registration.daemon, settings.secret),
        PeerLinkPorts(ports.clock, ports.random, PeerTrafficCounters(ports.registry)),
        LinkHandler(),
        sharedLoop,
    )

    init {
        ports.registry.gauge("boragering_peer_send_bytes", "bytes of messages that wait to be sent") { link.sendBytes }
    }

    /** The view of which daemons are live. */
    val membership = Membership(
        settings.registration,
        items,
        MembershipPorts(ports.store, link, link, ports.clock, ports.timeline, PauseDetector(ports.clock)),
        settings.seeds,
        ports.random,
    )
    private val dissemination = Dissemination(items, membership, link, ports.clock, ports.random)

    /** Starts to listen and launches the membership and dissemination loops in [scope]. */
    suspend fun start(scope: CoroutineScope) {
        membership.onRegistrations(dissemination::markKnown)
        link.start()
        scope.launch { membership.run() }
        scope.launch { dissemination.run() }
    }

    private inner class LinkHandler : PeerLinkHandler {
        override fun address(daemon: DaemonId): String? = membership.address(daemon)

        override fun nextTimestamp(): HybridTime = ports.hybridClock.issue()

        override fun receive(from: DaemonId, envelope: PeerEnvelope) {
            ports.hybridClock.merge(envelope.stamp)
            membership.handle(from, envelope.message)
            dissemination.handle(from, envelope.message)
            onMessage(from, envelope.message)
        }
    }
}
