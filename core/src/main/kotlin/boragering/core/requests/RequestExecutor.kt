package boragering.core.requests

import boragering.core.AnswerPart
import boragering.core.CallerRequest
import boragering.core.EntryName
import boragering.core.Problem
import boragering.core.RequestResult
import boragering.core.RequestService
import boragering.core.ThreadSafeRandom
import boragering.core.timeline.TimelineEntry
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/**
 * Serves callers' requests: admission, target selection, claims of non-repeatable requests, sending and retries. When
 * the caller's coroutine is cancelled, the call to the target is cancelled and the slot is released.
 */
class RequestExecutor(
    private val ports: RequestPorts,
    private val claims: ClaimLedger,
    private val admission: AdmissionController,
) : RequestService {
    private val random = ThreadSafeRandom(ports.random)
    private val retryBudgets = ConcurrentHashMap<EntryName, RetryBudget>()

    /** Set when the daemon shuts down. New requests are refused; those in progress continue. */
    @Volatile
    var draining: Boolean = false

    override suspend fun serve(request: CallerRequest, receive: suspend (AnswerPart) -> Unit): RequestResult {
        val catalogue = ports.catalogue.current()
        val problem = when {
            draining -> Problems.draining()
            catalogue == null -> Problems.notReady()
            else -> null
        }
        if (catalogue == null || problem != null) return reject(request, problem ?: Problems.notReady())
        return RequestPlanner.plan(catalogue, request, ports.clock.monotonic())
            .fold({ reject(request, it) }) { execute(it, receive) }
    }

    private suspend fun execute(plan: RequestPlan, receive: suspend (AnswerPart) -> Unit): RequestResult {
        val budget = retryBudgets.computeIfAbsent(plan.entry.name) { RetryBudget(ports.clock) }
        budget.recordRequest()
        val context = ExecutionContext(ports, claims, admission.forEntry(plan), budget, random)
        return RequestExecution(context, plan, receive).run()
    }

    private fun reject(request: CallerRequest, problem: Problem): RequestResult {
        ports.timeline.record(
            TimelineEntry("request-ended", problem.detail, request = request.id, entry = request.entry),
        )
        ports.metrics.ended(request.entry, problem, Duration.ZERO)
        return RequestResult.Failed(Problems.noteEarlierRequests(problem, request), started = false)
    }
}
