package boragering.gateway

import boragering.core.DaemonId
import boragering.core.membership.PeerLink
import boragering.core.membership.PeerMessage
import boragering.core.membership.Peers
import kotlin.time.Duration.Companion.seconds

/**
 * Tells neighbouring gateways what each organisation has asked for and had of the capacity that is shared by urgency,
 * and which requests lack capacity. Messages are lost without harm: a gateway that hears nothing uses its own counts.
 * Used on the event loop only.
 */
class AdmissionExchange(
    private val peers: Peers,
    private val link: PeerLink,
    private val reports: () -> AdmissionReports,
) {
    /** Sends the counts every [INTERVAL] on [loop]. */
    fun start(loop: GatewayLoop) = loop.every(INTERVAL, ::send)

    /** Sends the counts of this gateway to its neighbours, if there are any. */
    fun send() {
        val counts = reports().counts(MAX_ORGANISATIONS)
        if (counts.isEmpty()) return
        val message = PeerMessage.AdmissionCounts(counts)
        peers.neighbours.forEach { link.send(it.daemon, message) }
    }

    /** Handles a message of the gateway [from]; messages of other components are ignored. */
    fun handle(from: DaemonId, message: PeerMessage) {
        if (message is PeerMessage.AdmissionCounts) reports().onPeerCounts(from.value, message.lanes)
    }

    private companion object {
        val INTERVAL = 2.seconds

        /** Organisations in one message, which keeps it at about 1 KB. */
        const val MAX_ORGANISATIONS = 64
    }
}
