package boragering.load

import boragering.core.groups.Group
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
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** What a run showed. [processorTime] is the daemons' during the run, less what they use while they are idle. */
internal data class RunResult(val samples: List<Sample>, val processorTime: Duration)

/**
 * Runs [workload] against a deployment of its own whose daemons place requests by the policy [selection]. With
 * [halfDirect] every second request goes straight to an engine, so that both halves meet the same state of the machine.
 */
internal class LoadRun(
    private val workload: Workload,
    private val selection: String,
    private val halfDirect: Boolean = false,
) {
    private val arrivals = Schedule(workload).arrivals()

    /** The samples are in the order of the arrivals. */
    suspend fun run(): RunResult = loadPlan(workload, selection).run {
        val count = workload.deployment.replicas
        val groups = GroupView(daemons, workload.deployment.entry).awaitWhole(count).map { it.group }
        // Loading and the start of the daemons cost processor time that is not the requests'.
        delay(SETTLE_TIME)
        val idle = processorTime { delay(IDLE_TIME) } / (IDLE_TIME / 1.seconds)
        val start = TimeSource.Monotonic.markNow()
        var samples = emptyList<Sample>()
        val busy = processorTime {
            samples = withContext(Dispatchers.Default) { ChatClient().use { offer(it, groups) } }
        }
        RunResult(samples, busy - idle * (start.elapsedNow() / 1.seconds))
    }

    private suspend fun Deployment.processorTime(action: suspend () -> Unit): Duration {
        val before = processorTime()
        action()
        return processorTime() - before
    }

    private fun Deployment.processorTime(): Duration = daemons.sumOf {
        ProcessHandle.of(
            it.process.pid
        ).flatMap { process -> process.info().totalCpuDuration() }.orElseThrow().toNanos()
    }.nanoseconds

    private suspend fun Deployment.offer(client: ChatClient, groups: List<Group>): List<Sample> = coroutineScope {
        val start = TimeSource.Monotonic.markNow()
        arrivals.mapIndexed { index, arrival ->
            val wait = arrival.at - start.elapsedNow()
            if (wait > Duration.ZERO) delay(wait)
            val direct = halfDirect && index % 2 == 1
            val group = groups[index / 2 % groups.size]
            val request = if (direct) direct(index, arrival, group) else request(index, arrival)
            async { client.send(arrival, request, start + arrival.at).copy(direct = direct) }
        }.awaitAll()
    }

    private fun Deployment.request(index: Int, arrival: Arrival) = ChatRequest(
        daemons[arrival.daemon].callers,
        body(index, arrival),
        mapOf(PRIORITY to if (arrival.urgent) URGENT else NORMAL),
        token(arrival.organisation),
    )

    private fun direct(index: Int, arrival: Arrival, group: Group) = ChatRequest(
        group.members.first { it.instance == group.leader }.address,
        body(index, arrival),
        mapOf("Boragering-Group" to group.id.value, "Boragering-Fence" to "${group.fence}", PRIORITY to NORMAL),
        token = null,
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
        const val PRIORITY = "Boragering-Priority"
        const val URGENT = "2"
        const val NORMAL = "1"
        const val PREFIX_UNIT = 9
        val SETTLE_TIME = 2.seconds
        val IDLE_TIME = 3.seconds
    }
}
