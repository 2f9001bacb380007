package boragering.standins

import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.update
import kotlinx.serialization.Serializable
import org.kohsuke.args4j.Option
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration

/** Options of plain services. */
internal class ServiceOptions : InstanceOptions() {
    @field:Option(name = "--service-time", usage = "time that each request takes")
    var serviceTime: String = "10ms"
}

/**
 * Faults of a plain service. The service time is multiplied by [slowFactor]. The next [refuse] requests are refused as
 * not run; the next [runThenClose] are run, then their connections are closed without a response. While [unreachable],
 * everything but control calls ends with a closed connection.
 */
@Serializable
data class ServiceFaults(
    val slowFactor: Double = 1.0,
    val leaving: Boolean = false,
    val refuse: Int = 0,
    val runThenClose: Int = 0,
    val unreachable: Boolean = false,
)

/** Body of `GET /status` of a plain service. */
@Serializable
data class ServiceStatus(
    val instance: String,
    val incarnation: String,
    val running: Int,
    val slots: Int,
    val leaving: Boolean,
)

/**
 * One request that a plain service ran; [number] is that of the booked order, [ended] absent while it runs. [index]
 * counts the runs of the instance.
 */
@Serializable
data class ServiceRun(
    val request: String?,
    val idempotencyKey: String?,
    val method: String,
    val path: String,
    val started: Long,
    val ended: Long? = null,
    val number: String? = null,
    val responseLost: Boolean = false,
    val index: Int = 0,
)

/** Body of `GET /control/record` of a plain service. */
@Serializable
data class ServiceRecord(
    val instance: String,
    val incarnation: String,
    val requests: List<ServiceRun> = emptyList(),
    val refusals: List<RefusalRecord> = emptyList(),
)

/** An order as the service answers a booking. */
@Serializable
data class BookedOrder(val number: String, val instance: String, val body: String)

@Serializable
internal data class Echo(val instance: String, val method: String, val path: String, val body: String)

/** The orders that the instances of one process share, and the [journal] of their records. */
internal class OrderBook(val journal: Journal = Journal("")) {
    private val numbers = AtomicInteger()
    private val orders = ConcurrentHashMap<String, BookedOrder>()

    /** Books an order under a new number. */
    fun book(instance: String, body: String): BookedOrder {
        val order = BookedOrder("$instance.${numbers.incrementAndGet()}", instance, body)
        orders[order.number] = order
        return order
    }

    /** The order called [number]. */
    fun find(number: String): BookedOrder? = orders[number]
}

/** Stand-in of one instance of a plain service that books orders and echoes everything else. */
internal class ServiceStandIn(
    private val id: String,
    private val incarnation: String,
    private val options: ServiceOptions,
    private val book: OrderBook,
) {
    private val serviceTime: Duration = duration(options.serviceTime)
    private val faults = MutableStateFlow(ServiceFaults())
    private val slots = PrioritySlots(options.slots)
    private val runs = java.util.Collections.synchronizedList(mutableListOf<ServiceRun>())
    private val refusals = java.util.Collections.synchronizedList(mutableListOf<RefusalRecord>())
    private val journal = book.journal

    init {
        journal.append(ServiceRecord(id, incarnation))
    }

    /** Serves one request. */
    suspend fun serve(exchange: Exchange) {
        val path = exchange.request.path
        when {
            path.startsWith("/control/") -> controlCall(exchange)
            faults.value.unreachable -> exchange.abort("unreachable")
            path == "/status" -> exchange.respondJson(status())
            take({ refuse }) { copy(refuse = refuse - 1) } || slots.queued >= options.queue -> refuse(exchange)
            else -> slots.withSlot(priority = 0) { run(exchange) }
        }
    }

    private suspend fun controlCall(exchange: Exchange) = when (exchange.request.path) {
        "/control/faults" -> {
            if (exchange.request.method == "PUT") faults.value = exchange.receive()
            exchange.respondJson(faults.value)
        }
        "/control/record" ->
            exchange.respondJson(ServiceRecord(id, incarnation, runs.toList(), refusals.toList()))
        else -> exchange.respond(HttpStatusCode.NotFound)
    }

    private fun status() = ServiceStatus(id, incarnation, slots.running, options.slots, faults.value.leaving)

    private suspend fun refuse(exchange: Exchange) {
        val identity = exchange.request.header("X-Request-Id").orEmpty()
        val status = HttpStatusCode.ServiceUnavailable
        val refusal = RefusalRecord(identity, status.value, true, System.currentTimeMillis())
        refusals += refusal
        journal.append(ServiceRecord(id, incarnation, refusals = listOf(refusal)))
        exchange.respond(status, standInJson.encodeToString(ErrorBody("not run")), headers = notRun)
    }

    private suspend fun run(exchange: Exchange) {
        val request = exchange.request
        val run = ServiceRun(
            request.header("X-Request-Id"),
            request.header("Idempotency-Key"),
            request.method,
            request.path,
            System.currentTimeMillis(),
        )
        val index = add(run)
        val booked = if (request.method == "POST" && request.path == ORDERS) book.book(id, request.text) else null
        delay(serviceTime * faults.value.slowFactor)
        val lost = take({ runThenClose }) { copy(runThenClose = runThenClose - 1) }
        set(index, run.copy(ended = System.currentTimeMillis(), number = booked?.number, responseLost = lost))
        if (lost) exchange.abort("fault: response lost")
        respond(exchange, booked)
    }

    private fun add(run: ServiceRun): Int = synchronized(runs) {
        runs += run
        runs.lastIndex.also { set(it, run) }
    }

    private fun set(index: Int, run: ServiceRun) = synchronized(runs) {
        runs[index] = run.copy(index = index)
        journal.append(ServiceRecord(id, incarnation, listOf(runs[index])))
    }

    private suspend fun respond(exchange: Exchange, booked: BookedOrder?) {
        val request = exchange.request
        when {
            booked != null -> exchange.respondJson(booked, HttpStatusCode.Created)
            request.method == "GET" && request.path.startsWith("$ORDERS/") -> {
                val order = book.find(request.path.removePrefix("$ORDERS/"))
                if (order == null) exchange.respond(HttpStatusCode.NotFound) else exchange.respondJson(order)
            }
            else -> exchange.respondJson(Echo(id, request.method, request.path, request.text))
        }
    }

    private fun take(left: ServiceFaults.() -> Int, use: ServiceFaults.() -> ServiceFaults): Boolean {
        var taken = false
        faults.update { now ->
            taken = now.left() > 0
            if (taken) now.use() else now
        }
        return taken
    }

    private companion object {
        const val ORDERS = "/orders"
    }
}
