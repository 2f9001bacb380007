package boragering.load

import boragering.scenarios.Deployment
import boragering.scenarios.GroupView
import boragering.scenarios.run
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Runs [workload] against a deployment of its own. */
internal class LoadRun(private val workload: Workload) {
    private val arrivals = Schedule(workload).arrivals()

    /** All samples in the order of the arrivals. */
    suspend fun run(): List<Sample> = loadPlan(workload).run {
        GroupView(daemons, workload.deployment.entry).awaitWhole(workload.deployment.replicas)
        // The planner holds the last orders' results for a moment after the groups are whole.
        delay(SETTLE_TIME)
        withContext(Dispatchers.Default) { ChatClient().use { offer(it) } }
    }

    private suspend fun Deployment.offer(client: ChatClient): List<Sample> = coroutineScope {
        val start = TimeSource.Monotonic.markNow()
        arrivals.mapIndexed { index, arrival ->
            val wait = arrival.at - start.elapsedNow()
            if (wait > Duration.ZERO) delay(wait)
            async { client.send(arrival, request(index, arrival), start + arrival.at) }
        }.awaitAll()
    }

    private fun Deployment.request(index: Int, arrival: Arrival) = ChatRequest(
        daemons[arrival.daemon].callers,
        body(index, arrival),
        mapOf("Boragering-Priority" to if (arrival.urgent) URGENT else NORMAL),
        token(arrival.organisation),
    )

    private fun body(index: Int, arrival: Arrival): String {
        val mix = workload.requests
        val prefix = arrival.prefix?.let { "prefix $it ".repeat(mix.prefixCharacters / PREFIX_UNIT) }.orEmpty()
        return buildJsonObject {
            put("model", workload.deployment.entry)
            putJsonArray("messages") {
                addJsonObject {
                    put("role", "user")
                    put("content", "$prefix request $index")
                }
            }
            put("max_tokens", if (arrival.long) mix.longTokens else mix.shortTokens)
            put("stream", true)
        }.toString()
    }

    private companion object {
        const val URGENT = "2"
        const val NORMAL = "1"
        const val PREFIX_UNIT = 9
        val SETTLE_TIME = 2.seconds
    }
}
