package boragering.adapters

import boragering.core.membership.PeerMessageKind
import boragering.core.membership.PeerTraffic

/** Counts the traffic between daemons. */
class PeerCounters(registry: MetricRegistry) : PeerTraffic {
    private val messages =
        registry.counter {
            name("boragering_peer_messages").help("messages between daemons").labelNames("kind", "direction")
        }
    private val bytes =
        registry.counter {
            name("boragering_peer_bytes").help("bytes between daemons").labelNames("kind", "direction")
        }

    override fun sent(kind: PeerMessageKind, bytes: Int) = count(kind, "sent", bytes)

    override fun received(kind: PeerMessageKind, bytes: Int) = count(kind, "received", bytes)

    override fun dropped(kind: PeerMessageKind) = count(kind, "dropped", 0)

    private fun count(kind: PeerMessageKind, direction: String, count: Int) {
        val label = kind.name.lowercase()
        messages.labelValues(label, direction).inc()
        bytes.labelValues(label, direction).inc(count.toLong())
    }
}
