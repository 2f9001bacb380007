package boragering.standins

import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds

/** An engine's admission and execution of chat completions. */
internal class EngineRequests(
    private val options: EngineOptions,
    private val control: EngineFaultControl,
    private val group: EngineGroup,
    private val members: MemberMonitor,
    private val runs: EngineRuns,
) {
    private val slots = PrioritySlots(options.slots)
    private val cache = PrefixCache(options.cacheBlocks)
    private val load = LaggedLoad(duration(options.reportLag))

    /** The load that reports state. */
    fun visibleLoad(): Load = load.visible()

    /** Serves one chat completion. */
    suspend fun complete(exchange: Exchange) {
        val request = exchange.receive<ChatRequest>()
        val assignment = group.assignment
        val refusal = refusal(exchange, assignment)
        if (refusal != null || assignment == null) {
            refuse(exchange, refusal ?: HttpStatusCode.ServiceUnavailable)
        } else {
            run(exchange, request, assignment)
        }
    }

    private fun refusal(exchange: Exchange, assignment: Assignment?): HttpStatusCode? = when {
        control.takeRefusal() || assignment?.phase != EnginePhase.READY -> HttpStatusCode.ServiceUnavailable
        !group.leads(assignment) || isStale(exchange.request, assignment.order) -> HttpStatusCode.Conflict
        !members.present.value -> HttpStatusCode.InternalServerError
        slots.queued >= options.queue -> HttpStatusCode.ServiceUnavailable
        else -> null
    }

    private fun isStale(request: ReceivedRequest, order: EngineOrder): Boolean = options.enforceFencing &&
        (request.header("Boragering-Group") != order.group || request.header("Boragering-Fence") != "${order.fence}")

    private suspend fun refuse(exchange: Exchange, status: HttpStatusCode) {
        val promises = status != HttpStatusCode.InternalServerError
        val identity = exchange.request.header("X-Request-Id").orEmpty()
        runs.refuse(RefusalRecord(identity, status.value, promises, System.currentTimeMillis()))
        val body = standInJson.encodeToString(ErrorBody(if (promises) "not run" else "a member is missing"))
        exchange.respond(status, body, headers = if (promises) notRun else emptyList())
    }

    private suspend fun run(exchange: Exchange, request: ChatRequest, assignment: Assignment) = coroutineScope {
        val run = runs.accept(newRecord(exchange.request, request, assignment.order), coroutineContext.job)
        val watch = launch { awaitClientGone(exchange, run) }
        try {
            noteLoad()
            slots.withSlot(run.now.priority) { answer(exchange, request, run) }
            run.end(RunEnd.COMPLETE)
        } finally {
            watch.cancel()
            // Every other cause sets the end before it cancels, so what is left is a failed write to the client.
            run.end(RunEnd.CLIENT_GONE)
            runs.finish(run)
            noteLoad()
            group.requestEnded()
        }
    }

    private suspend fun answer(exchange: Exchange, request: ChatRequest, run: EngineRuns.Run) {
        noteLoad()
        val identity = run.now.request
        val generation = Generation(options, control, cache, request, run)
        generation.prefill()
        val wrongIdentity = if (control.takeWrongIdentity()) runs.otherIdentity(identity) else null
        ChatAnswer(exchange, request, identity, wrongIdentity).send(generation)
    }

    private suspend fun awaitClientGone(exchange: Exchange, run: EngineRuns.Run) {
        while (!exchange.clientGone) delay(clientCheckInterval)
        run.cancel(RunEnd.CLIENT_GONE)
    }

    private fun newRecord(received: ReceivedRequest, request: ChatRequest, order: EngineOrder) = RunRecord(
        received.header("X-Request-Id") ?: "chatcmpl-${System.nanoTime()}",
        received.header("Idempotency-Key"),
        received.header("Boragering-Group"),
        received.header("Boragering-Fence")?.toLongOrNull(),
        order.group,
        order.fence,
        received.header("Boragering-Priority")?.toIntOrNull() ?: 1,
        members.present.value,
        System.currentTimeMillis(),
        request.resumeFrom,
    )

    private fun noteLoad() = load.update(Load(slots.running, slots.queued))

    private companion object {
        val clientCheckInterval = 50.milliseconds
    }
}
