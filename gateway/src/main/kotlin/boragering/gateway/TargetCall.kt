package boragering.gateway

import io.netty.handler.codec.http.FullHttpRequest
import kotlin.time.Duration

/** The reason why a call to a target has no complete response. */
internal sealed interface CallFailure {
    /** Description of the failure for the log. */
    val reason: String

    /** No byte of the request was written; it cannot run. */
    data class NotSent(override val reason: String) : CallFailure

    /** The request was written, at least in part, and may have run. */
    data class Lost(override val reason: String) : CallFailure

    /** As [Lost], because the connection ended. The target may have ended with it. */
    data class Disconnected(override val reason: String) : CallFailure
}

/**
 * One request to one target, and the receiver of its response. The callbacks run on the event loop; none follows
 * [onEnd] or [onFailure].
 */
internal interface TargetCall {
    /** The request to send. */
    val request: FullHttpRequest

    /** The id that the response has to repeat; `null` if responses have no id. */
    val requestId: String?

    /** Longest idle time of a connection that may carry this call; `null` for no limit. */
    val maxIdleTime: Duration?

    /** Why the part of the response that has arrived cannot be used; `null` if it can. */
    val defect: String?

    /** Whether more of the response can be taken now. */
    val accepting: Boolean get() = true

    /** Called with the status and the headers of the response. */
    fun onHead(head: ResponseHead)

    /** Called with each part of the response's body. */
    fun onContent(bytes: ByteArray)

    /** Called when all bytes that have arrived together were passed on. */
    fun onReadComplete() = Unit

    /** Called when the response is complete. */
    fun onEnd()

    /** Called when the call ends without a complete response. */
    fun onFailure(failure: CallFailure)
}
