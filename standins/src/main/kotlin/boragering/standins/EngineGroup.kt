package boragering.standins

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit

/** The group that an engine belongs to. */
internal data class Assignment(val order: EngineOrder, val phase: EnginePhase)

/**
 * An engine's membership in a group, as orders and loads change it. [weightLoads] limits the loads of the process;
 * [interrupt] ends what runs when the engine gets another group; [activeRequests] counts what must finish before a
 * released engine becomes idle.
 */
internal class EngineGroup(
    private val id: String,
    private val options: EngineOptions,
    private val scope: CoroutineScope,
    private val weightLoads: Semaphore,
    private val members: MemberMonitor,
) {
    private val lock = Any()
    private var current: Assignment? = null
    private var highestFence = Long.MIN_VALUE
    private var loading: Job? = null
    private var weights: Pair<String, String>? = null

    /** Called when running requests must end because the engine joins another group. */
    var interrupt: () -> Unit = {}

    /** Number of requests that have not ended. */
    var activeRequests: () -> Int = { 0 }

    /** The present assignment, `null` when idle. */
    val assignment: Assignment? get() = synchronized(lock) { current }

    /** Model and version of the loaded weights; they stay loaded when the engine becomes idle. */
    val loadedWeights: Pair<String, String>? get() = synchronized(lock) { weights }

    /** Whether the engine is ready to lead requests. */
    fun leads(assignment: Assignment): Boolean = assignment.order.leader == id

    /** Obeys [order] unless it is stale and the engine enforces fencing. */
    fun obey(order: EngineOrder): OrderVerdict = synchronized(lock) {
        when {
            options.enforceFencing && order.fence < highestFence -> OrderVerdict.STALE
            order.kind == "load" -> load(order)
            order.kind == "release" -> release(order)
            else -> throw IllegalArgumentException("order kind '${order.kind}' is unknown")
        }
    }

    /** Becomes idle when the engine was released and nothing runs any more. */
    fun requestEnded() = synchronized(lock) {
        if (current?.phase == EnginePhase.DRAINING && activeRequests() == 0) becomeIdle()
    }

    private fun load(order: EngineOrder): OrderVerdict {
        highestFence = maxOf(highestFence, order.fence)
        val now = current
        if (now != null && now.phase != EnginePhase.DRAINING && now.order == order) return OrderVerdict.NO_CHANGE
        loading?.cancel()
        interrupt()
        current = Assignment(order, EnginePhase.LOADING)
        members.stop()
        loading = scope.launch { complete(order) }
        return OrderVerdict.ACCEPTED
    }

    private suspend fun complete(order: EngineOrder) {
        val wanted = order.model to order.modelVersion
        if (loadedWeights == wanted) {
            delay(duration(options.joinTime))
        } else {
            weightLoads.withPermit { delay(duration(options.loadTime)) }
        }
        synchronized(lock) { weights = wanted }
        if (order.leader == id) {
            members.watch(order)
            members.present.first { it }
        }
        synchronized(lock) {
            if (current?.order == order && current?.phase == EnginePhase.LOADING) {
                current = Assignment(order, EnginePhase.READY)
            }
        }
    }

    private fun release(order: EngineOrder): OrderVerdict {
        highestFence = maxOf(highestFence, order.fence)
        val now = current
        if (now == null || now.order.group != order.group) return OrderVerdict.NO_CHANGE
        loading?.cancel()
        if (activeRequests() == 0) becomeIdle() else current = now.copy(phase = EnginePhase.DRAINING)
        return OrderVerdict.ACCEPTED
    }

    private fun becomeIdle() {
        members.stop()
        current = null
    }
}
