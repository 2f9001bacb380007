package boragering.gateway

import boragering.core.membership.PeerLink
import boragering.core.membership.PeerMessage
import boragering.core.membership.Peers
import boragering.core.membership.ranked
import boragering.fleet.InstanceStart
import boragering.fleet.RateShare

/**
 * Divides rates among the live gateways by rendezvous hashing, without messages, and tells all gateways when a target
 * no longer limits its rate. Used on the event loop only.
 *
 * @param gatewayCount number of gateways that may serve, which can exceed the known live ones just after a start.
 */
class RateExchange(
    private val peers: Peers,
    private val link: PeerLink,
    private val gatewayCount: () -> Int,
    private val onEnd: (InstanceStart) -> Unit,
) : RateLink {
    override fun share(head: InstanceStart, maxHolders: Int): RateShare {
        val gateways = gatewayCount().coerceAtLeast(1)
        val holders = peers.ranked("target-rate/$head", maxHolders)
        val complete = peers.live.size >= gateways
        return RateShare(
            // While some gateways are unknown, each may rank itself among the holders.
            holders = if (complete) holders.size else gateways,
            gateways = gateways,
            holding = holders.any { it.daemon == peers.self.daemon },
        )
    }

    override fun reportEnd(head: InstanceStart) {
        val message = PeerMessage.TargetRateEnded(head.id, head.startedAtMilliseconds)
        peers.live.filter { it.daemon != peers.self.daemon }.forEach { link.send(it.daemon, message) }
    }

    /** Handles a message of another gateway; messages of other components are ignored. */
    fun handle(message: PeerMessage) {
        if (message is PeerMessage.TargetRateEnded) onEnd(InstanceStart(message.head, message.startedAt))
    }
}
