package boragering.gateway

import io.netty.handler.codec.http.FullHttpRequest
import kotlin.time.Duration

/** Why a call to a target has no complete answer. */
internal sealed interface CallFailure {
    /** Explanation for the log. */
    val reason: String

    /** No byte of the request was written; it cannot run. */
    data class NotSent(override val reason: String) : CallFailure

    /** The request was written, at least in part, and may have run. */
    data class Lost(override val reason: String) : CallFailure
}

/**
 * One request to one target. The receiver of its events runs on the event loop; after [onEnd] or [onFailure] it gets no
 * more of them.
 */
internal interface TargetCall {
    /** The request to send. */
    val request: FullHttpRequest

    /** The id that the answer has to repeat; `null` when answers carry none. */
    val requestId: String?

    /** Longest time for which a connection may have been idle that carries this call; `null` for no limit. */
    val maxIdleTime: Duration?

    /** Why no more of the answer is wanted; `null` while it is. */
    val limitExceeded: String?

    /** Status and headers of the answer. */
    fun onHead(head: ResponseHead)

    /** Bytes of the answer's body. */
    fun onContent(bytes: ByteArray)

    /** The answer is complete. */
    fun onEnd()

    /** There is no complete answer. */
    fun onFailure(failure: CallFailure)
}
