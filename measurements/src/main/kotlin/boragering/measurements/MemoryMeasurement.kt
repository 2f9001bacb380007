package boragering.measurements

import boragering.core.GroupId
import boragering.core.RequestId
import boragering.core.groups.Division
import boragering.core.groups.DivisionDocument
import boragering.core.groups.DivisionReplica
import boragering.core.groups.ListedInstance
import boragering.core.membership.DaemonRecord
import boragering.core.membership.DaemonState
import boragering.core.membership.Item
import boragering.core.membership.ItemReplica
import boragering.core.timeline.HybridClock
import boragering.core.timeline.Timeline
import boragering.core.timeline.TimelineBuffer
import boragering.core.timeline.TimelineEntry
import kotlinx.serialization.json.Json

/** Heap of what every daemon keeps. */
class MemoryMeasurement : Measurement {
    override fun run(probe: Probe): List<Series> =
        GROUP_SIZES.map { groupSize ->
            Series.measure("items and divisions, groups of $groupSize", "bytes", "instances", FLEETS) { instances ->
                probe.heap { divisions(instances, groupSize) }
            }
        } + listOf(
            Series.measure("health of held groups", "bytes", "held groups", HELD) { groups ->
                val divisions = Fixtures.fleet(groups, groupSize = 1)
                val peers = Fixtures.peers(count = 1)
                probe.heap { HealthFixture(divisions, peers).refresh() }
            },
            Series.measure("items of daemon records", "bytes", "daemons", DAEMONS) { daemons ->
                probe.heap { records(daemons) }
            },
            Series.measure("decoded live list", "bytes", "instances", FLEETS) { instances ->
                val text = Json.encodeToString(listed(instances))
                probe.heap { Json.decodeFromString<List<ListedInstance>>(text) }
            },
            Series.measure("timeline", "bytes", "events", EVENTS) { events -> probe.heap { timeline(events) } },
        )

    private fun divisions(instances: Int, groupSize: Int): Any {
        val items = ItemReplica(Fixtures.clock)
        val replica = DivisionReplica(items, Timeline { })
        Fixtures.fleet(instances, groupSize).values.forEach { division ->
            items.accept(Item(Division.key(division.domain), division.version, DivisionDocument.encode(division)))
        }
        check(replica.current().isNotEmpty()) { "no division was taken" }
        return items to replica
    }

    private fun listed(instances: Int) =
        List(instances) { Fixtures.listed(it, Fixtures.domain(it / Fixtures.DOMAIN_SIZE)) }

    private fun records(daemons: Int): Any {
        val items = ItemReplica(Fixtures.clock)
        repeat(daemons) {
            items.accept(DaemonRecord(Fixtures.registration(it), heartbeat = 1, DaemonState.ALIVE).toItem())
        }
        return items
    }

    private fun timeline(events: Int): Any {
        val clock = HybridClock(Fixtures.registration(0).daemon, Fixtures.clock)
        val buffer = TimelineBuffer(clock)
        repeat(events) {
            val text = "request $it was admitted to 10.12.0.$it:8000"
            val request = RequestId("5f0c1d2e-0000-4000-8000-$it")
            buffer.record(TimelineEntry("request-admitted", text, GroupId("kotoba-pool-$it"), request = request))
        }
        return buffer
    }

    private companion object {
        val GROUP_SIZES = listOf(1, 4, 8)
        val FLEETS = listOf(1_200, 3_000, 6_000, 12_000)
        val HELD = listOf(50, 168, 500, 2_000)
        val DAEMONS = listOf(9, 50, 150, 430)
        val EVENTS = listOf(2_000, 5_000, 10_000, 20_000)
    }
}
