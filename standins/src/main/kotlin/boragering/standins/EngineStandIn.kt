package boragering.standins

import io.ktor.client.HttpClient
import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.sync.Semaphore
import java.util.Collections

/** What the engines of one process share. */
internal class EngineProcess(val options: EngineOptions, val scope: CoroutineScope, val client: HttpClient) {
    /** Where the engines' records are kept beyond the process. */
    val journal = Journal(options.journal)

    /** Limits weight loads, as the weight store's rate does. */
    val weightLoads = Semaphore(if (options.loadsAtOnce > 0) options.loadsAtOnce else Int.MAX_VALUE)
}

/** Stand-in of one engine instance. */
internal class EngineStandIn(private val id: String, private val incarnation: String, process: EngineProcess) {
    private val options = process.options
    private val control = EngineFaultControl()
    private val members =
        MemberMonitor(id, process.scope, process.client, duration(options.pingInterval), duration(options.pingTimeout))
    private val group = EngineGroup(id, options, process.scope, process.weightLoads, members)
    private val journal = EngineJournal(id, incarnation, process.journal)
    private val runs = EngineRuns(journal)
    private val orders = Collections.synchronizedList(mutableListOf<OrderRecord>())
    private val presence = Collections.synchronizedList(mutableListOf<PresenceChange>())
    private val requests = EngineRequests(options, control, group, members, runs)

    init {
        group.interrupt = { runs.cancel(RunEnd.REASSIGNED) }
        group.activeRequests = { runs.activeCount }
        members.changed = { order, present ->
            val change = PresenceChange(order.group, order.fence, present, System.currentTimeMillis())
            presence += change
            journal.append(change)
            if (!present) runs.cancel(RunEnd.MEMBER_LOST)
        }
    }

    /** Serves one request. */
    suspend fun serve(exchange: Exchange) {
        val path = exchange.request.path
        if (control.faults.unreachable && !path.startsWith("/control/")) exchange.abort("unreachable")
        when {
            path == "/status" -> exchange.respondJson(status())
            path == "/orders" -> order(exchange)
            path == "/v1/chat/completions" -> requests.complete(exchange)
            path.startsWith(REQUESTS) && path.endsWith(CANCEL) -> {
                runs.cancel(RunEnd.CANCELLED, path.removePrefix(REQUESTS).removeSuffix(CANCEL))
                exchange.respond(HttpStatusCode.Accepted)
            }
            else -> controlCall(exchange)
        }
    }

    private suspend fun controlCall(exchange: Exchange) = when (exchange.request.path) {
        "/control/faults" -> {
            if (exchange.request.method == "PUT") control.faults = exchange.receive()
            if (control.faults.unreachable) runs.cancel(RunEnd.UNREACHABLE)
            exchange.respondJson(control.faults)
        }
        "/control/record" ->
            exchange.respondJson(
                EngineRecord(id, incarnation, runs.records(), runs.refusals(), orders.toList(), presence.toList())
            )
        else -> exchange.respond(HttpStatusCode.NotFound)
    }

    private fun status(): EngineStatus {
        val assignment = group.assignment
        val weights = group.loadedWeights
        val load = requests.visibleLoad()
        return EngineStatus(
            id,
            incarnation,
            assignment?.phase ?: EnginePhase.IDLE,
            load.running,
            load.queued,
            options.slots,
            control.faults.leaving,
            assignment?.order?.group,
            assignment?.order?.fence,
            weights?.first,
            weights?.second,
        )
    }

    private suspend fun order(exchange: Exchange) {
        val order = exchange.receive<EngineOrder>()
        val verdict = group.obey(order)
        OrderRecord(order, verdict, System.currentTimeMillis()).also(orders::add).also(journal::append)
        val stale = verdict == OrderVerdict.STALE
        exchange.respond(if (stale) HttpStatusCode.Conflict else HttpStatusCode.Accepted)
    }

    private companion object {
        const val REQUESTS = "/v1/requests/"
        const val CANCEL = "/cancel"
    }
}
