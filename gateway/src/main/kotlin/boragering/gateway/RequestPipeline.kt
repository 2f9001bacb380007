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
    private val reader = RequestRouter(state.names, state.ports.random)
    private val waiting = ArrayDeque<Arrival>()
    private var exchange: Exchange? = null
    private var gone = false

    /** Whether a request is being answered. */
    var answering = false
        private set

    /** When the last answer ended, or the connection was opened. */
    var idleSince = state.now()
        private set

    /** Whether no request waits for its answer. */
    val idle: Boolean get() = !answering && waiting.isEmpty()

    /** Takes a whole request, whose last bytes arrived [at] a time of the monotonic clock. */
    fun add(request: ReceivedRequest, at: Duration) {
        waiting.addLast(Arrival(request, at))
        if (waiting.size >= MOST_WAITING) channel.config().isAutoRead = false
        next()
    }

    /** The caller reads on, or does not. */
    fun writable(on: Boolean) {
        exchange?.callerWritable(on)
    }

    /** The caller is gone. */
    fun left() {
        gone = true
        waiting.clear()
        exchange?.callerLeft()
        exchange = null
    }

    private fun next() {
        if (answering) return
        val arrival = waiting.removeFirstOrNull() ?: return
        channel.config().isAutoRead = true
        answering = true
        // A refusal would use up a retry of the caller, while what to serve is known in a moment.
        state.afterStart { if (!gone) serve(arrival.request, arrival.at) }
    }

    private fun serve(request: ReceivedRequest, arrivedAt: Duration) {
        val writer = ResponseWriter(channel, request, { state.draining }, ::answered)
        val routes = state.routes
        if (routes == null) {
            refuse(request, Refusal.Unavailable("no configuration is known", Refusal.soon(state.ports.random)), writer)
        } else {
            reader.read(request, routes, arrivedAt).fold({ refuse(request, it, writer) }, { start(it, writer) })
        }
    }

    private fun start(routed: RoutedRequest, writer: ResponseWriter) {
        val started = Exchange(state, routed, writer)
        exchange = started
        started.start()
    }

    private fun refuse(request: ReceivedRequest, refusal: Refusal, writer: ResponseWriter) {
        state.ports.metrics.ended("none", refusal.status, "refused", Duration.ZERO)
        state.log.state(
            "request-refused",
            "request" to request.headers.get(state.names.requestId),
            "status" to refusal.status,
            "reason" to refusal.reason,
            "configuration" to state.routes?.version,
        )
        writer.refuse(refusal)
    }

    private fun answered(keepOpen: Boolean) {
        exchange = null
        answering = false
        idleSince = state.now()
        if (keepOpen) next() else onEnded()
    }

    /** A request that arrived [at] a time of the monotonic clock; its time runs from then on. */
    private class Arrival(val request: ReceivedRequest, val at: Duration)

    private companion object {
        /** Requests that a caller may send ahead. */
        const val MOST_WAITING = 4
    }
}
