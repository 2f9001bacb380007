package boragering.adapters

import boragering.core.membership.PeerMessageKind
import boragering.core.membership.PeerTrafficMetrics
import io.prometheus.metrics.core.datapoints.CounterDataPoint
import java.util.EnumMap

/** Counts the messages and bytes between daemons by message kind and direction. */
class PeerTrafficCounters(registry: MetricRegistry) : PeerTrafficMetrics {
    private val messages =
        registry.counter {
            name("boragering_peer_messages").help("messages between daemons").labelNames("kind", "direction")
        }
    private val bytes =
        registry.counter {
            name("boragering_peer_bytes").help("bytes between daemons").labelNames("kind", "direction")
        }

    /** Cached counters of each kind: the registry's own lookup would be most of the cost of counting a message. */
    private val sent = countersByKind("sent")
    private val received = countersByKind("received")
    private val dropped = countersByKind("dropped")

    override fun sent(kind: PeerMessageKind, bytes: Int) = sent.getValue(kind).count(bytes)

    override fun received(kind: PeerMessageKind, bytes: Int) = received.getValue(kind).count(bytes)

    override fun dropped(kind: PeerMessageKind) = dropped.getValue(kind).count(bytes = 0)

    private fun countersByKind(direction: String): Map<PeerMessageKind, KindCounter> =
        PeerMessageKind.entries.associateWithTo(EnumMap(PeerMessageKind::class.java)) { kind ->
            val label = kind.name.lowercase()
            KindCounter(messages.labelValues(label, direction), bytes.labelValues(label, direction))
        }

    private class KindCounter(private val messages: CounterDataPoint, private val bytes: CounterDataPoint) {
        fun count(bytes: Int) {
            messages.inc()
            this.bytes.inc(bytes.toDouble())
        }
    }
}
