package boragering.gateway

import boragering.fleet.CallerLimits
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Receives the requests of one connection, and passes each to [pipeline] when it is complete, or to [refuse] what is
 * wrong with it. While there is no memory for a body, the connection is not read. Runs on the event loop.
 */
internal class RequestReceiver(
    private val state: GatewayState,
    private val channel: Channel,
    private val tracker: ReceiveTracker,
    private val pipeline: RequestPipeline,
    private val reading: ReadingGate,
    private val refuse: (Refusal) -> Unit,
) {
    private val assembler = RequestAssembler(state.bodyMemory, ::onMemoryGranted)
    private var headComplete = false
    private var continueExpected = false

    /** Since when the request that is being received waits for memory; `null` if it does not. */
    private var awaitingMemorySince: Duration? = null

    /** The headers of the request that is being received; empty if they have not arrived. */
    val headers: HttpHeaders get() = assembler.headers

    /** Time until [now] for which no request was received or answered. */
    fun idleFor(now: Duration): Duration =
        if (tracker.requestStartedAt == null) now - pipeline.idleSince else Duration.ZERO

    /** The refusal of a request that takes too long to arrive by [now]; `null` if none does. */
    fun overdue(now: Duration, limits: CallerLimits): Refusal? {
        val startedAt = tracker.requestStartedAt ?: return null
        val awaitingMemory = awaitingMemorySince
        // A caller that sends nothing keeps the memory of its request from others.
        val idleTimeout = limits.idleTimeout
        val maxPause = if (state.bodyMemory.short) minOf(idleTimeout, MAX_PAUSE_WHILE_SHORT) else idleTimeout
        return when {
            awaitingMemory != null -> noMemory().takeIf { now - awaitingMemory >= MAX_MEMORY_WAIT }
            headComplete -> Refusal.TooSlow().takeIf { now - tracker.lastByteAt >= maxPause }
            else -> Refusal.TooSlow().takeIf { now - startedAt >= limits.headerTimeout }
        }
    }

    /** Begins a request. */
    fun onHead(request: HttpRequest) {
        val problem = request.decoderResult().cause()
        when {
            problem is TooLongHttpHeaderException || problem is TooLongHttpLineException ->
                refuse(Refusal.HeadersTooLarge())
            problem != null -> refuse(Refusal.Malformed("the request cannot be read"))
            else -> {
                headComplete = true
                continueExpected = HttpUtil.is100ContinueExpected(request)
                onAssembled(assembler.begin(request, state.routes?.limits?.bodyBytes ?: DEFAULT_MAX_BODY_BYTES))
            }
        }
    }

    /** Adds [content] to the request that has begun. */
    fun onBodyPart(content: HttpContent) {
        if (content.decoderResult().isFailure) return refuse(Refusal.Malformed("the body cannot be read"))
        onAssembled(assembler.add(content))
    }

    /** Drops the request that has begun. */
    fun discard() = assembler.discard()

    private fun onAssembled(assembled: AssemblyResult) {
        when (assembled) {
            AssemblyResult.Incomplete -> inviteBody()
            AssemblyResult.Waiting -> awaitMemory()
            AssemblyResult.Refused -> refuse(noMemory())
            AssemblyResult.TooLarge -> refuse(Refusal.BodyTooLarge())
            is AssemblyResult.Complete -> {
                headComplete = false
                tracker.requestStartedAt = null
                pipeline.enqueue(assembled.request, tracker.lastByteAt)
            }
        }
    }

    private fun inviteBody() {
        if (continueExpected && pipeline.idle) {
            channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
        continueExpected = false
    }

    private fun awaitMemory() {
        if (awaitingMemorySince == null) awaitingMemorySince = state.now()
        reading.pause(PauseReason.MEMORY_SHORT)
    }

    private fun onMemoryGranted() {
        awaitingMemorySince = null
        reading.resume(PauseReason.MEMORY_SHORT)
        onAssembled(assembler.resume())
    }

    private fun noMemory() = Refusal.NoMemory(Refusal.soon(state.ports.random))

    private companion object {
        const val DEFAULT_MAX_BODY_BYTES = 1 shl 20

        /** Time for which a request waits for memory; well below the time for which a caller waits to be read. */
        val MAX_MEMORY_WAIT = 400.milliseconds

        /** Longest pause of a caller within a body while others wait for memory. */
        val MAX_PAUSE_WHILE_SHORT = 1.seconds
    }
}
