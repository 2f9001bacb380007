package boragering.measurements

import boragering.adapters.PeerWireFormat
import boragering.core.DaemonId
import boragering.core.Fence
import boragering.core.GroupId
import boragering.core.GroupSummary
import boragering.core.membership.DaemonRecord
import boragering.core.membership.DaemonState
import boragering.core.membership.Item
import boragering.core.membership.ItemDigest
import boragering.core.membership.PeerEnvelope
import boragering.core.membership.PeerMessage
import boragering.core.membership.Registration
import boragering.core.timeline.HybridTime
import kotlinx.serialization.json.Json

/** Bytes of the frames between daemons, and the processor time to encode and decode them. */
class PeersMeasurement : Measurement {
    override fun run(probe: Probe): List<Series> = KINDS.flatMap { (name, per, build) ->
        listOf(
            Series.measure("$name frame", "bytes", per, SIZES) {
                listOf(PeerWireFormat.FRAME_HEADER_BYTES + PeerWireFormat.encode(envelope(build(it))).size.toDouble())
            },
            Series.measure("$name encoding", "µs", per, SIZES) {
                val envelope = envelope(build(it))
                probe.microseconds { PeerWireFormat.encode(envelope) }
            },
            Series.measure("$name decoding", "µs", per, SIZES) {
                val body = PeerWireFormat.encode(envelope(build(it)))
                probe.microseconds { PeerWireFormat.decode(body) }
            },
        )
    } + Series.measure("hash of all items for a comparison", "µs", "items", SIZES) {
        val items = List(it, ::record)
        probe.microseconds { ItemDigest.summary(items) }
    } + Series.measure("registrations in the store", "bytes", "daemons", SIZES) {
        listOf(List(it, Fixtures::registration).sumOf { one -> stored(one) }.toDouble())
    }

    private fun stored(registration: Registration): Int =
        Registration.key(registration.daemon).length + Json.encodeToString(registration).length

    private data class Kind(val name: String, val per: String, val build: (Int) -> PeerMessage)

    private companion object {
        const val FIXED = "frames of any size"
        const val SEQUENCE = 1_234_567L
        const val WALL = 1_800_000_000_000
        const val VERSION = 2_345L
        const val HEAD_BYTES = 9 * 1024
        val SIZES = listOf(1, 4, 16, 64, 256)
        val daemon = DaemonId("entry-17-5f0c1d2e")

        val KINDS = listOf(
            Kind("Ping", FIXED) { PeerMessage.Ping(SEQUENCE) },
            Kind("PingAnswer", FIXED) { PeerMessage.PingAnswer(SEQUENCE, daemon, SEQUENCE) },
            Kind("PingRequest", FIXED) { PeerMessage.PingRequest(SEQUENCE, daemon) },
            Kind("Echo", FIXED) { PeerMessage.Echo(SEQUENCE) },
            Kind("DigestSummary", FIXED) { PeerMessage.DigestSummary(Long.MAX_VALUE) },
            Kind("BucketDigest", FIXED) { PeerMessage.BucketDigest(List(ItemDigest.BUCKETS) { Long.MAX_VALUE }) },
            Kind("GroupSummaries", "groups") { count -> PeerMessage.GroupSummaries(SEQUENCE, List(count, ::summary)) },
            Kind("Items of daemon records", "items") { count -> PeerMessage.Items(List(count, ::record)) },
            Kind("Items of catalogue heads of 9 KiB", "items") { count -> PeerMessage.Items(List(count, ::head)) },
            Kind("Digest", "keys") { count -> PeerMessage.Digest(versions(count), listOf(1)) },
            Kind("Announcement", "keys") { count -> PeerMessage.Announcement(versions(count)) },
            Kind("ItemRequest", "keys") { count -> PeerMessage.ItemRequest(versions(count).keys.toList()) },
        )

        fun envelope(message: PeerMessage) = PeerEnvelope(HybridTime(WALL, 1, daemon), message)

        fun summary(number: Int) = GroupSummary(
            Fixtures.domain(number),
            GroupId("kotoba-pool-${Fixtures.domain(number)}-$number"),
            Fence(VERSION),
            whole = true,
            leaving = false,
            running = 5,
            queued = 1,
            slots = 8,
            ageMilliseconds = 312,
        )

        fun record(number: Int): Item =
            DaemonRecord(Fixtures.registration(number), heartbeat = 17, DaemonState.ALIVE).toItem()

        fun head(number: Int) = Item("boragering/catalogue/head", VERSION + number, "x".repeat(HEAD_BYTES))

        fun versions(count: Int): Map<String, Long> =
            List(count) { "boragering/divisions/${Fixtures.domain(it)}" to VERSION }.toMap()
    }
}
