package boragering.gateway

import io.netty.channel.Channel
import kotlin.time.Duration

/**
 * The requests of one connection, answered one after the other in the order in which they came. [onEnded] is called
 * when the connection cannot carry another request. Runs on the event loop.
 */
internal class RequestPipeline(
    private val state: GatewayState,
    private val channel: Channel,
    private val onEnded: () -> Unit,
) {
    private val router = RequestRouter(state.headerNames, state.ports.random)
    private val queue = ArrayDeque<QueuedRequest>()
    private var exchange: Exchange? = null
    private var disconnected = false

    /** Whether a request is being answered. */
    var responding = false
        private set

    /** When the last answer ended, or the connection was opened. */
    var idleSince = state.now()
        private set

    /** Whether no request waits for its answer. */
    val idle: Boolean get() = !responding && queue.isEmpty()

    /** Takes a whole request, whose last bytes arrived [receivedAt] a time of the monotonic clock. */
    fun enqueue(request: ReceivedRequest, receivedAt: Duration) {
        queue.addLast(QueuedRequest(request, receivedAt))
        if (queue.size >= MAX_QUEUED_REQUESTS) channel.config().isAutoRead = false
        serveNext()
    }

    /** The caller reads on, or does not. */
    fun onWritabilityChanged(writable: Boolean) {
        exchange?.onCallerWritabilityChanged(writable)
    }

    /** The caller is gone. */
    fun onDisconnect() {
        disconnected = true
        queue.clear()
        exchange?.onCallerDisconnected()
        exchange = null
    }

    private fun serveNext() {
        if (responding) return
        val queued = queue.removeFirstOrNull() ?: return
        channel.config().isAutoRead = true
        responding = true
        // A refusal would use up a retry of the caller, while what to serve is known in a moment.
        state.runAfterStartup { if (!disconnected) serve(queued.request, queued.receivedAt) }
    }

    private fun serve(request: ReceivedRequest, arrivedAt: Duration) {
        val writer = ResponseWriter(channel, request, { state.draining }, ::onResponseEnded)
        val routes = state.routes
        if (routes == null) {
            refuse(request, Refusal.Unavailable("no configuration is known", Refusal.soon(state.ports.random)), writer)
        } else {
            router.route(request, routes, arrivedAt).fold({ refuse(request, it, writer) }, { start(it, writer) })
        }
    }

    private fun start(routed: RoutedRequest, writer: ResponseWriter) {
        val newExchange = Exchange(state, routed, writer)
        exchange = newExchange
        newExchange.start()
    }

    private fun refuse(request: ReceivedRequest, refusal: Refusal, writer: ResponseWriter) {
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
        exchange = null
        responding = false
        idleSince = state.now()
        if (keepOpen) serveNext() else onEnded()
    }

    /** A request that arrived [receivedAt] a time of the monotonic clock; its time runs from then on. */
    private class QueuedRequest(val request: ReceivedRequest, val receivedAt: Duration)

    private companion object {
        /** Requests that a caller may send ahead. */
        const val MAX_QUEUED_REQUESTS = 4
    }
}
