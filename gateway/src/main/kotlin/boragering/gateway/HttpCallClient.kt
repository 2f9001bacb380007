package boragering.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import boragering.fleet.Address
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
import kotlin.time.Duration

/**
 * An HTTP request that the gateway sends on its own behalf, not for a caller.
 *
 * @property maxResponseBytes longest body of a response that is taken, in bytes.
 */
data class HttpCall(
    val method: String,
    val uri: String,
    val body: String? = null,
    val headers: Map<String, String> = emptyMap(),
    val maxResponseBytes: Int = DEFAULT_MAX_RESPONSE_BYTES,
) {
    private companion object {
        const val DEFAULT_MAX_RESPONSE_BYTES = 256 shl 10
    }
}

/** The response to an [HttpCall]. */
class HttpCallResponse(val status: Int, val body: String, private val headers: Map<String, String>) {
    /** The value of the header [name], which is given in lower case; `null` if the response lacks it. */
    fun header(name: String): String? = headers[name]
}

/** The reason why an [HttpCall] has no response. */
sealed interface HttpFailure {
    /** Description of the failure for the log. */
    val reason: String

    /** The server did not receive the call. */
    data class NotSent(override val reason: String) : HttpFailure

    /** The server may have executed the call, or may do so later. */
    data class Unanswered(override val reason: String) : HttpFailure

    /** The server answered, but not in a way that can be taken. */
    data class Unreadable(override val reason: String) : HttpFailure
}

/** HTTP client with pooled connections for the gateway's own calls, for example to the store. */
class HttpCallClient(private val loop: GatewayLoop, connectTimeout: Duration) {
    private val poolContext = ConnectionPoolContext(loop, connectTimeout)
    private val pools = HashMap<Address, ConnectionPool>()

    /** Sends [call] to [address] and waits for the response for [timeout] at most. */
    suspend fun send(address: Address, call: HttpCall, timeout: Duration): Either<HttpFailure, HttpCallResponse> {
        val pending = PendingCall(call, address)
        val started = CompletableDeferred<CallHandle>()
        loop.execute { started.complete(pool(address).send(pending, MAX_CONNECTIONS_PER_ADDRESS)) }
        val handle = started.await()
        val answer = withTimeoutOrNull(timeout) { pending.answer.await() }
        if (answer != null) return answer
        loop.execute {
            handle.cancel()
            // What keeps one connection silent may keep all of them silent that were open at the time.
            pools[address]?.closeIdle()
        }
        val reason = "no answer within $timeout"
        return (if (handle.sent) HttpFailure.Unanswered(reason) else HttpFailure.NotSent(reason)).left()
    }

    private fun pool(address: Address): ConnectionPool =
        pools.getOrPut(address) { ConnectionPool(poolContext, address) }

    private class PendingCall(private val call: HttpCall, address: Address) : TargetCall {
        val answer = CompletableDeferred<Either<HttpFailure, HttpCallResponse>>()
        private val body = ByteArrayOutputStream()
        private var head: ResponseHead? = null

        override val request: FullHttpRequest = request(call, address)
        override val requestId: String? = null
        override val maxIdleTime: Duration? = null

        override val defect: String?
            get() = "the response is longer than ${call.maxResponseBytes} bytes"
                .takeIf { body.size() > call.maxResponseBytes }

        override fun onHead(head: ResponseHead) {
            this.head = head
        }

        override fun onContent(bytes: ByteArray) = body.write(bytes)

        override fun onEnd() {
            val received = checkNotNull(head)
            val headers = received.headers.entries().associate { it.key.lowercase() to it.value }
            answer.complete(HttpCallResponse(received.status, body.toString(Charsets.UTF_8), headers).right())
        }

        override fun onFailure(failure: CallFailure) {
            val reason = when (failure) {
                is CallFailure.NotSent -> HttpFailure.NotSent(failure.reason)
                is CallFailure.Lost -> HttpFailure.Unreadable(failure.reason)
                is CallFailure.Disconnected -> HttpFailure.Unanswered(failure.reason)
            }
            answer.complete(reason.left())
        }

        private fun request(call: HttpCall, address: Address): FullHttpRequest {
            val content = Unpooled.wrappedBuffer(call.body.orEmpty().toByteArray())
            val request =
                DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method), call.uri, content)
            request.headers().set(HttpHeaderNames.HOST, address.toString())
            if (call.body != null) {
                request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                request.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
            }
            call.headers.forEach { (name, value) -> request.headers().set(name, value) }
            return request
        }
    }

    private companion object {
        /** Limit for concurrent calls to one address. */
        const val MAX_CONNECTIONS_PER_ADDRESS = 16
    }
}
