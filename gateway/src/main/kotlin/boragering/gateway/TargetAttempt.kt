package boragering.gateway

import boragering.fleet.EventParser
import boragering.fleet.PromptPart
import boragering.fleet.Route
import boragering.fleet.Target
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import kotlinx.collections.immutable.PersistentList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Receives the events of a [TargetAttempt]. */
internal interface AttemptListener {
    /** Called with each complete event of a stream whose response has [head]. */
    fun onEvent(attempt: TargetAttempt, head: ResponseHead, bytes: ByteArray, id: Long?)

    /** Called when all events that have arrived together were passed on. */
    fun onReadComplete(attempt: TargetAttempt)

    /** Called when the stream whose response has [head] is complete. */
    fun onStreamEnd(attempt: TargetAttempt, head: ResponseHead)

    /** Called when a response that is not a stream is complete; the memory of [body] passes to this listener. */
    fun onResponse(attempt: TargetAttempt, head: ResponseHead, body: ResponseBody)

    /** Called when there is memory for more of the response, whose reading was paused. */
    fun onMemoryGranted(attempt: TargetAttempt)

    /** Called when the target states that it did not run the request. */
    fun onNotExecuted(attempt: TargetAttempt, head: ResponseHead)

    /** Called when the attempt ends without a complete response. */
    fun onAttemptFailure(attempt: TargetAttempt, failure: CallFailure)
}

/** One attempt to run a request on [target], whose connections and load are in [usage], and the response so far. */
internal class TargetAttempt(
    val target: Target,
    val usage: TargetUsage,
    override val request: FullHttpRequest,
    private val routed: RoutedRequest,
    private val state: GatewayState,
    private val listener: AttemptListener,
) : TargetCall {
    private var body: ResponseBuffer? = null
    private var head: ResponseHead? = null
    private var parser: EventParser? = null
    private var notExecuted = false
    private var repeated = false

    /** The progress of the response. */
    val activity = AttemptActivity(usage, state::now)

    val startedAt: Duration get() = activity.startedAt

    /** When the response last progressed: by its head, by a complete event, or by bytes of a non-stream response. */
    val lastProgressAt: Duration get() = activity.lastProgressAt

    /** Whether events of a stream have arrived. */
    val streaming: Boolean get() = activity.streaming

    /** The parts of the request's prompt that other requests may share. */
    val promptParts: PersistentList<PromptPart> get() = routed.promptParts

    override val requestId: String get() = routed.id.value

    override val maxIdleTime: Duration? = MAX_IDLE_TIME.takeIf { !routed.route.repeatability.repeatable }

    override fun onHead(head: ResponseHead) {
        activity.recordProgress()
        this.head = head
        state.statements.record(this, head)
        notExecuted = head.status == MISDIRECTED_REQUEST || head.headers.contains(state.headerNames.notExecuted)
        if (!notExecuted && isStream(head, routed.route)) parser = EventParser() else beginBody(head)
    }

    private fun beginBody(head: ResponseHead) {
        val length = head.headers.get(HttpHeaderNames.CONTENT_LENGTH)?.trim()?.toLongOrNull() ?: 0L
        val expected = if (request.method() == HttpMethod.HEAD) 0 else length.coerceIn(0, MAX_RESPONSE_BYTES.toLong())
        body = ResponseBuffer(state.bodyMemory, expected.toInt()) { listener.onMemoryGranted(this) }
    }

    override val accepting: Boolean get() = body?.waiting != true

    /** Returns the memory of the response unless it was passed on. */
    fun releaseMemory() {
        body?.release()
    }

    override val defect: String?
        get() = when {
            repeated -> REPEATED
            parser?.oversized == true -> "an event is longer than ${EventParser.MAX_EVENT_BYTES} bytes"
            (body?.size ?: 0) > MAX_RESPONSE_BYTES -> "the response is longer than $MAX_RESPONSE_BYTES bytes"
            else -> null
        }

    override fun onContent(bytes: ByteArray) {
        val stream = parser
        val current = head ?: return
        if (stream == null) {
            activity.recordProgress()
            body?.add(bytes)
        } else {
            // Incomplete events do not count as progress, because a faulty target may still send single bytes.
            stream.feed(bytes) { event, id -> forwardEvent(current, event, id) }
        }
    }

    private fun forwardEvent(current: ResponseHead, event: ByteArray, id: Long?) {
        repeated = repeated || containsHead(event)
        if (repeated) return activity.recordProgress()
        activity.recordEvent()
        listener.onEvent(this, current, event, id)
    }

    override fun onReadComplete() = listener.onReadComplete(this)

    override fun onEnd() {
        val current = checkNotNull(head)
        val stream = parser
        when {
            notExecuted -> listener.onNotExecuted(this, current)
            stream?.broken == true ->
                listener.onAttemptFailure(this, brokenStream(current))
            stream != null -> listener.onStreamEnd(this, current)
            hasContentEncoding(current) ->
                listener.onAttemptFailure(this, CallFailure.Lost("the response has an unrequested encoding"))
            else -> onWholeBody(current, checkNotNull(body).take())
        }
    }

    private fun onWholeBody(head: ResponseHead, whole: ResponseBody) {
        if (containsHead(whole.bytes)) {
            whole.release()
            listener.onAttemptFailure(this, CallFailure.Lost(REPEATED))
        } else {
            listener.onResponse(this, head, whole)
        }
    }

    override fun onFailure(failure: CallFailure) = listener.onAttemptFailure(this, failure)

    private fun containsHead(bytes: ByteArray): Boolean =
        ResponseFraming.containsHead(bytes, state.headerNames.requestId)

    /** Builds the requests that are sent to targets. */
    companion object {
        private const val MISDIRECTED_REQUEST = 421
        private const val REPEATED = "the response broke off and was followed by another one"
        private val SUCCESS = 200..299
        private const val MAX_RESPONSE_BYTES = 8 shl 20
        private const val LOWEST_PRIORITY = 9

        /**
         * Limit for the idle time of a connection that carries a request that may not be repeated. The target may close
         * an idle connection while a request is in transit; such a request would then be lost.
         */
        private val MAX_IDLE_TIME = 1.seconds

        /** Time that the response needs to reach the caller. */
        private val RESPONSE_TRANSIT_TIME = 5.milliseconds

        /** The request to send to [target] at [now]; it resumes a stream after [lastEventId] if that is set. */
        fun request(
            routed: RoutedRequest,
            target: Target,
            headerNames: HeaderNames,
            lastEventId: Long?,
            now: Duration,
        ): FullHttpRequest {
            val received = routed.received
            val content = Unpooled.wrappedBuffer(received.body)
            val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, received.method, received.uri, content)
            val headers = request.headers()
            HopByHop.copyEndToEndHeaders(received.headers, headers, without = headerNames.replaced)
            val left = (routed.deadline - now - RESPONSE_TRANSIT_TIME).inWholeMilliseconds.coerceAtLeast(1)
            headers.set(headerNames.deadlineRemaining, left.toString())
            headers.set(headerNames.expectedInstance, target.head.id.value)
            headers.set(headerNames.priority, routed.priority.coerceIn(0, LOWEST_PRIORITY).toString())
            routed.organisation?.let { headers.set(headerNames.organisation, it.value) }
            lastEventId?.let { headers.set(headerNames.lastEventId, it.toString()) }
            if (received.body.isNotEmpty() || received.headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, received.body.size.toString())
            }
            return request
        }

        private fun brokenStream(head: ResponseHead): CallFailure {
            val reason = "the stream ended inside an event"
            val delimited = HopByHop.hasDelimitedBody(head.headers)
            return if (delimited) CallFailure.Lost(reason) else CallFailure.Disconnected(reason)
        }

        private fun isStream(head: ResponseHead, route: Route): Boolean =
            head.status in SUCCESS && route.repeatability.stream && !hasContentEncoding(head)

        private fun hasContentEncoding(head: ResponseHead): Boolean =
            head.status in SUCCESS && head.headers.contains(HttpHeaderNames.CONTENT_ENCODING)
    }
}
