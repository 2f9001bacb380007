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
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlin.random.Random

/**
 * Who this daemon is to the others, where it listens for them, and how it finds the first ones.
 *
 * @property secret what all daemons share and prove to each other.
 * @property seeds addresses (`host:port`) of other daemons, for a start without the store.
 */
class PeerStackSettings(
    val registration: Registration,
    val linkSettings: PeerLinkSettings,
    val secret: ByteArray,
    val seeds: List<String>,
)

/** What a [PeerStack] uses of its surroundings. */
class PeerStackPorts(
    val store: Store,
    val clock: Clock,
    val hybridClock: HybridClock,
    val timeline: Timeline,
    val random: Random,
    val registry: MetricRegistry,
)

/**
 * One daemon's part in what daemons do together: its links to others, its view of which ones live, and the items that
 * they pass on. Each message is also given to [onMessage], on a thread of the link.
 */
class PeerStack(
    settings: PeerStackSettings,
    private val ports: PeerStackPorts,
    private val onMessage: (DaemonId, PeerMessage) -> Unit,
) {
    /** The items that daemons pass on, as this one knows them. */
    val items = ItemReplica(ports.clock)

    /** The links to other daemons. */
    val link = SocketPeerLink(
        settings.linkSettings,
        HandshakeIdentity(settings.registration.daemon, settings.secret),
        PeerLinkPorts(ports.clock, ports.random, PeerTrafficCounters(ports.registry)),
        LinkHandler(),
    )

    /** The daemons that live. */
    val membership = Membership(
        settings.registration,
        items,
        MembershipPorts(ports.store, link, link, ports.clock, ports.timeline, PauseDetector(ports.clock)),
        settings.seeds,
        ports.random,
    )
    private val dissemination = Dissemination(items, membership, link, ports.clock, ports.random)

    /** Starts to listen, and runs all loops in [scope]. */
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
