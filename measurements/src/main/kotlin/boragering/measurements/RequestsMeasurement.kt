package boragering.measurements

import boragering.core.RequestResult
import boragering.core.TargetDirectory
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking

/** Processor time of the request logic, without HTTP. */
class RequestsMeasurement : Measurement {
    override fun run(probe: Probe): List<Series> = listOf(
        Series.measure("one request, all listed targets usable", "µs", "targets", TARGETS) { targets ->
            served(probe, FixedDirectory(targets, slots = 1_000), events = 1)
        },
        Series.measure("looking up the targets of one request", "µs", "targets", TARGETS) { targets ->
            val fixture = HealthFixture(Fixtures.fleet(targets, groupSize = 1), Fixtures.peers(count = 1)).refresh()
            val entry = CatalogueFixtures.model("kotoba-pool", 1, targets).name
            probe.microseconds { fixture.health.candidates(entry) }
        },
        Series.measure("one answer", "µs", "events", EVENTS) { events ->
            served(probe, FixedDirectory(1, slots = 1_000), events)
        },
        Series.measure("all requests that arrive at once", "µs", "requests at once", QUEUES) { requests ->
            queued(probe, requests)
        },
        Series.measure("index of held groups after a daemon came or went", "µs", "groups", GROUPS) { groups ->
            val divisions = Fixtures.fleet(groups, groupSize = 1)
            val peers = Fixtures.peers(DAEMONS)
            probe.prepared(1) {
                val health = HealthFixture(divisions, peers).health
                val action = { health.usable(FixedDirectory(1, slots = 1).candidates(ENTRY).first()) }
                action
            }
        },
    )

    private fun served(probe: Probe, directory: TargetDirectory, events: Int): List<Double> = runBlocking {
        val fixture = fixture(directory, events, this)
        probe.microseconds { runBlocking { check(fixture.send() == RequestResult.Complete) } }
    }

    private fun queued(probe: Probe, requests: Int): List<Double> = probe.prepared(1) {
        val action = {
            runBlocking {
                val fixture = fixture(FixedDirectory(QUEUE_TARGETS, slots = 1), events = 1, this)
                repeat(requests) { launch { check(fixture.send() == RequestResult.Complete) } }
            }
        }
        action
    }

    private fun fixture(directory: TargetDirectory, events: Int, scope: CoroutineScope) =
        RequestFixture(CatalogueFixtures.model("kotoba-pool", 1, 1), scope, MemoryStore(), directory, events)

    private companion object {
        const val QUEUE_TARGETS = 8
        const val DAEMONS = 430
        val ENTRY = CatalogueFixtures.model("kotoba-pool", 1, 1).name
        val TARGETS = listOf(8, 50, 168, 500)
        val EVENTS = listOf(1, 10, 100, 1_000)
        val QUEUES = listOf(16, 64, 256, 1_024)
        val GROUPS = listOf(480, 960, 1_920, 3_840)
    }
}
