package boragering.gateway

import boragering.fleet.EventParser
import boragering.fleet.Target
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpVersion
import java.io.ByteArrayOutputStream
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Receives what becomes of a [TargetAttempt]. */
internal interface AttemptListener {
    /** A whole event of a stream that began with [head]. */
    fun event(attempt: TargetAttempt, head: ResponseHead, bytes: ByteArray, id: Long?)

    /** The stream that began with [head] is complete. */
    fun streamEnded(attempt: TargetAttempt, head: ResponseHead)

    /** The answer is complete. */
    fun answered(attempt: TargetAttempt, head: ResponseHead, body: ByteArray)

    /** The target states that it did not run the request. */
    fun refused(attempt: TargetAttempt, head: ResponseHead)

    /** There is no complete answer. */
    fun failed(attempt: TargetAttempt, failure: CallFailure)
}

/** One send of a request to [target], which is known as [used], and what has come back so far. */
internal class TargetAttempt(
    val target: Target,
    val used: TargetUsage,
    override val request: FullHttpRequest,
    private val routed: RoutedRequest,
    private val state: GatewayState,
    private val events: AttemptListener,
) : TargetCall {
    private val body = ByteArrayOutputStream()
    private var head: ResponseHead? = null
    private var parser: EventParser? = null
    private var refusal = false

    val startedAt = state.now()

    /** When the answer moved on last: by its head, by a whole event, or by bytes of an answer that is no stream. */
    var heardAt = startedAt
        private set

    /** Whether events of a stream came. */
    var flowing = false
        private set

    override val requestId: String get() = routed.id.value

    override val idleLimit: Duration? = IDLE_LIMIT.takeIf { !routed.route.repeatability.repeatable }

    override fun onHead(head: ResponseHead) {
        heard()
        this.head = head
        used.report(head.headers.get(state.names.load), heardAt)
        refusal = head.status == MISDIRECTED || head.headers.contains(state.names.notRun)
        if (!refusal && streams(head)) parser = EventParser()
    }

    override val excess: String?
        get() = when {
            parser?.oversized == true -> "an event is longer than ${EventParser.MAX_EVENT_BYTES} bytes"
            body.size() > LARGEST_ANSWER -> "the answer is longer than $LARGEST_ANSWER bytes"
            else -> null
        }

    override fun onContent(bytes: ByteArray) {
        val stream = parser
        val current = head ?: return
        if (stream == null) {
            heard()
            body.write(bytes)
        } else {
            // Parts of an event prove nothing: a target in trouble may send a byte now and then.
            stream.feed(bytes) { event, id -> pass(current, event, id) }
        }
    }

    private fun pass(current: ResponseHead, event: ByteArray, id: Long?) {
        heard()
        if (!flowing) {
            flowing = true
            used.flows()
        }
        events.event(this, current, event, id)
    }

    override fun onEnd() {
        val current = checkNotNull(head)
        val stream = parser
        when {
            refusal -> events.refused(this, current)
            stream?.broken == true -> events.failed(this, CallFailure.Lost("the stream ended inside an event"))
            stream != null -> events.streamEnded(this, current)
            encoded(current) -> events.failed(this, CallFailure.Lost("the answer has an encoding nobody asked for"))
            else -> events.answered(this, current, body.toByteArray())
        }
    }

    override fun onFailure(failure: CallFailure) = events.failed(this, failure)

    private fun heard() {
        heardAt = state.now()
        used.heard(heardAt)
    }

    private fun streams(head: ResponseHead): Boolean =
        head.status in SUCCESS && routed.route.repeatability.stream && !encoded(head)

    private fun encoded(head: ResponseHead): Boolean =
        head.status in SUCCESS && head.headers.contains(HttpHeaderNames.CONTENT_ENCODING)

    /** Makes the requests that targets get. */
    companion object {
        private const val MISDIRECTED = 421
        private val SUCCESS = 200..299
        private const val LARGEST_ANSWER = 8 shl 20
        private const val LOWEST_PRIORITY = 9

        /**
         * The target may close an idle connection while a request is on its way, and a request that may not be repeated
         * is then lost; it goes over a connection that was in use just now, or over a new one.
         */
        private val IDLE_LIMIT = 1.seconds

        /** Time that the answer needs to reach the caller. */
        private val ANSWER_TIME = 5.milliseconds

        /** The request as [target] gets it at [now], to go on after [lastEvent] if that is set. */
        fun request(
            routed: RoutedRequest,
            target: Target,
            names: HeaderNames,
            lastEvent: Long?,
            now: Duration,
        ): FullHttpRequest {
            val received = routed.received
            val content = Unpooled.wrappedBuffer(received.body)
            val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, received.method, received.uri, content)
            val headers = request.headers()
            HopByHop.copy(received.headers, headers, without = replaced(names))
            val left = (routed.deadline - now - ANSWER_TIME).inWholeMilliseconds.coerceAtLeast(1)
            headers.set(names.timeLeft, left.toString())
            headers.set(names.expectedInstance, target.head.id.value)
            headers.set(names.priority, routed.priority.coerceIn(0, LOWEST_PRIORITY).toString())
            routed.organisation?.let { headers.set(names.organisation, it.value) }
            lastEvent?.let { headers.set(names.lastEvent, it.toString()) }
            if (received.body.isNotEmpty() || received.headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, received.body.size.toString())
            }
            return request
        }

        private fun replaced(names: HeaderNames): Set<String> =
            listOf(
                names.timeLeft,
                names.expectedInstance,
                names.priority,
                names.organisation,
                names.organisationKey,
                names.lastEvent,
            ).mapTo(HashSet()) { it.lowercase(Locale.ROOT) }
    }
}
