package boragering.gateway

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.netty.channel.Channel
import kotlin.time.Duration

/**
 * Serves the pipelined requests of one connection one at a time, in the order of their arrival. [onEnded] is called
 * when the connection cannot carry another request. Runs on the event loop.
 */
internal class RequestPipeline(
    private val state: GatewayState,
    private val channel: Channel,
    private val reading: ReadingGate,
    private val onEnded: () -> Unit,
) {
    private val router = RequestRouter(state.headerNames, state.ports.random)
    private val queue = ArrayDeque<QueuedRequest>()
    private var current: QueuedRequest? = null
    private var exchange: Exchange? = null
    private var disconnected = false

    /** Whether a request is being served. */
    var responding = false
        private set

    /** When the last response ended, or the connection was opened. */
    var idleSince = state.now()
        private set

    /** Whether no request is queued or being served. */
    val idle: Boolean get() = !responding && queue.isEmpty()

    /** Queues a complete request whose last byte arrived at [receivedAt], a time of the monotonic clock. */
    fun enqueue(request: ReceivedRequest, receivedAt: Duration) {
        queue.addLast(QueuedRequest(request, receivedAt))
        if (queue.size >= MAX_QUEUED_REQUESTS) reading.pause(PauseReason.QUEUE_FULL)
        serveNext()
    }

    /** Sends what has waited for the caller, whose connection accepts more data. */
    fun onWritable() {
        exchange?.onCallerWritable()
    }

    /** Cancels all requests because the caller has closed the connection. */
    fun onDisconnect() {
        disconnected = true
        queue.forEach { it.request.memory?.release() }
        queue.clear()
        exchange?.onCallerDisconnected()
        releaseCurrent()
    }

    private fun serveNext() {
        if (responding) return
        val queued = queue.removeFirstOrNull() ?: return
        reading.resume(PauseReason.QUEUE_FULL)
        responding = true
        current = queued
        // A refusal during startup would use up one of the caller's retries; the configuration follows within moments.
        state.runAfterStartup {
            state.runAfterLateEvents { if (!disconnected) serve(queued.request, queued.receivedAt) }
        }
    }

    private fun serve(request: ReceivedRequest, arrivedAt: Duration) {
        val backlog = StreamBacklog(state.bodyMemory) { exchange?.onCallerWritable() }
        val writer = ResponseWriter(channel, request, backlog, { state.draining }, ::onResponseEnded)
        val routes = state.routes
        if (routes == null) {
            refuse(request, Refusal.Unavailable("no configuration is known", Refusal.soon(state.ports.random)), writer)
        } else {
            router.route(request, routes, arrivedAt).flatMap(::admit)
                .fold({ refuse(request, it, writer) }, { start(it, writer) })
        }
    }

    /** A refused request can be sent to another gateway; one that is cut at the stop may have run. */
    private fun admit(routed: RoutedRequest): Either<Refusal, RoutedRequest> {
        val admitted = state.drain?.admits(routed.deadline, state.now()) ?: true
        return if (admitted) {
            routed.right()
        } else {
            Refusal.Unavailable("the gateway stops", Refusal.soon(state.ports.random)).left()
        }
    }

    private fun start(routed: RoutedRequest, writer: ResponseWriter) {
        val newExchange = Exchange(state, routed, writer)
        exchange = newExchange
        newExchange.start()
    }

    /** Refuses [request], which may be incomplete, with [writer]. */
    fun refuse(request: ReceivedRequest, refusal: Refusal, writer: ResponseWriter) {
        state.ports.metrics.recordResponse("none", refusal.status, "refused", Duration.ZERO)
        state.log.event(
            "request-refused",
            "request" to request.headers.get(state.headerNames.requestId),
            "status" to refusal.status,
            "reason" to refusal.reason,
            "configuration" to state.routes?.version,
        )
        writer.refuse(refusal)
    }

    private fun onResponseEnded(keepOpen: Boolean) {
        releaseCurrent()
        responding = false
        idleSince = state.now()
        if (keepOpen) serveNext() else onEnded()
    }

    private fun releaseCurrent() {
        exchange = null
        current?.request?.memory?.release()
        current = null
    }

    /** A request and the time of the monotonic clock at which it arrived, from which its deadline counts. */
    private class QueuedRequest(val request: ReceivedRequest, val receivedAt: Duration)

    private companion object {
        /** Number of queued requests from which on the connection is not read. */
        const val MAX_QUEUED_REQUESTS = 4
    }
}
