package boragering.standins

import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.serialization.Serializable
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/** One instance of the live list; [state] is `live` or `leaving`. */
@Serializable
data class LiveInstance(
    val id: String,
    val address: String,
    val pool: String,
    val fabricDomain: String,
    val availabilityZone: String,
    val state: String,
)

/** Body of `GET /instances`. */
@Serializable
data class LiveInstances(val instances: List<LiveInstance>)

/** Faults of the live list; in an [outage] every read ends with a closed connection. */
@Serializable
data class LiveListFaults(val outage: Boolean = false)

/**
 * Stand-in of the platform's live list. Readers see what was true [lag] ago; the first list that is set is visible at
 * once, since nothing older exists.
 */
internal class LiveListStandIn(
    private val lag: Duration,
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class Version(val since: ComparableTimeMark, val instances: List<LiveInstance>)

    private val lock = Any()
    private val versions = ArrayDeque<Version>()
    private val faults = MutableStateFlow(LiveListFaults())

    /** Serves one request. */
    suspend fun serve(exchange: Exchange) {
        val writes = exchange.request.method == "PUT"
        when (exchange.request.path) {
            "/instances" -> read(exchange)
            "/control/instances" -> {
                if (writes) set(exchange.receive<LiveInstances>().instances)
                exchange.respondJson(LiveInstances(truth()))
            }
            "/control/faults" -> {
                if (writes) faults.value = exchange.receive()
                exchange.respondJson(faults.value)
            }
            else -> exchange.respond(HttpStatusCode.NotFound)
        }
    }

    private suspend fun read(exchange: Exchange) {
        if (faults.value.outage) exchange.abort("outage")
        val domain = exchange.request.query["fabricDomain"]
        exchange.respondJson(LiveInstances(visible().filter { domain == null || it.fabricDomain == domain }))
    }

    private fun set(instances: List<LiveInstance>) = synchronized(lock) {
        versions.addLast(Version(time.markNow(), instances))
    }

    private fun truth(): List<LiveInstance> = synchronized(lock) { versions.lastOrNull()?.instances.orEmpty() }

    private fun visible(): List<LiveInstance> = synchronized(lock) {
        while (versions.size > 1 && versions[1].since.elapsedNow() >= lag) versions.removeFirst()
        versions.firstOrNull()?.instances.orEmpty()
    }
}
