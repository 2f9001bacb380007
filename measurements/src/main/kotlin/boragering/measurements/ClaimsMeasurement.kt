package boragering.measurements

import boragering.core.RequestResult
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Cost of non-repeatable requests; each writes its claim twice, at its start and its end. */
class ClaimsMeasurement : Measurement {
    override fun run(probe: Probe): List<Series> = listOf(
        Series.measure("claim shard", "bytes", "claims in the shard", CLAIMS) { claims ->
            listOf(runBlocking { filled(claims, this) }.store.bytes())
        },
        Series.measure("one non-repeatable request", "µs", "claims in the shard", CLAIMS) { claims ->
            runBlocking {
                val scope = this
                // A new shard for each repetition, since each request adds a claim.
                probe.prepared(REQUESTS) {
                    val shard = runBlocking { filled(claims, scope) }
                    val action = { runBlocking { repeat(REQUESTS) { shard.send() } } }
                    action
                }
            }
        },
        Series.measure("requests refused because the shard is full", "requests", "requests sent", OVERFLOW) { sent ->
            listOf(runBlocking { filled(sent, this) }.refused.toDouble())
        },
        Series.measure("writes for requests that arrive at once", "writes", "requests", BATCHES) { requests ->
            listOf(runBlocking { filled(requests, this, STORE_LATENCY) }.store.writes.toDouble())
        },
    )

    private suspend fun filled(requests: Int, scope: CoroutineScope, latency: Duration = Duration.ZERO): Shard {
        val shard = Shard(scope, latency)
        List(requests) { scope.launch { shard.send() } }.forEach { it.join() }
        return shard
    }

    /** One shard of claims on one daemon. */
    private class Shard(scope: CoroutineScope, latency: Duration) {
        val store = MemoryStore(latency)
        var refused = 0
            private set
        private val directory = FixedDirectory(count = 1, slots = 1_000_000)
        private val fixture = RequestFixture(CatalogueFixtures.service(), scope, store, directory)

        suspend fun send() {
            if (fixture.send() != RequestResult.Complete) refused++
        }
    }

    private companion object {
        const val REQUESTS = 20
        val CLAIMS = listOf(50, 200, 600, 1_200)
        val OVERFLOW = listOf(1_000, 2_000, 3_000, 4_000)
        val BATCHES = listOf(1, 16, 64, 256, 1_024)
        val STORE_LATENCY = 5.milliseconds

        fun MemoryStore.bytes(): Double = values.values.sumOf { it.value.length }.toDouble()
    }
}
