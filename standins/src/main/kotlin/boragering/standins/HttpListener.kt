package boragering.standins

import io.ktor.http.HttpStatusCode
import io.ktor.http.cio.Request
import io.ktor.http.parseQueryString
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.server.cio.backend.ServerIncomingConnection
import io.ktor.server.cio.backend.ServerRequestScope
import io.ktor.server.cio.backend.startServerConnectionPipeline
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.InternalAPI
import io.ktor.utils.io.cancel
import io.ktor.utils.io.close
import io.ktor.utils.io.toByteArray
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.apache.logging.log4j.LogManager
import java.io.IOException
import java.net.InetAddress
import kotlin.time.Duration.Companion.minutes
import java.net.InetSocketAddress as SocketAddress

/** The address that all stand-ins bind. */
internal const val LOOPBACK = "127.0.0.1"

private val logger = LogManager.getLogger("boragering.standins")

/** Handles one request; the response is complete when it returns. */
internal typealias RequestHandler = suspend (Exchange) -> Unit

/**
 * An HTTP server on a loopback port. It uses Ktor's CIO server below its application layer, because only there a
 * handler can close a connection without a response, and because all listeners of a process then share one selector
 * thread.
 */
internal class HttpListener private constructor(private val server: ServerSocket, val port: Int) {
    /** Stops accepting connections. */
    fun close() = server.close()

    companion object {
        private val idleLimit = 5.minutes

        /** Binds [port] (0 = choose) and serves connections in [scope] until it is cancelled or the listener closed. */
        suspend fun start(
            scope: CoroutineScope,
            selector: SelectorManager,
            port: Int,
            handler: RequestHandler,
        ): HttpListener {
            val server = aSocket(selector).tcp().bind(LOOPBACK, port) { reuseAddress = true }
            val bound = (server.localAddress as InetSocketAddress).port
            scope.launch { acceptAll(scope, server, bound, handler) }
            return HttpListener(server, bound)
        }

        private suspend fun acceptAll(scope: CoroutineScope, server: ServerSocket, port: Int, handler: RequestHandler) {
            try {
                while (true) HttpConnection(server.accept(), port).serve(scope, handler)
            } catch (expected: IOException) {
                if (!server.socketContext.isCompleted) throw expected
            }
        }
    }

    // Ktor marks this layer as internal; the build pins Ktor's version, and no public layer can close a connection.
    @OptIn(InternalAPI::class)
    private class HttpConnection(private val socket: Socket, private val port: Int) {
        private val received: ByteReadChannel = socket.openReadChannel()
        private val sent: ByteWriteChannel = socket.openWriteChannel()

        fun serve(scope: CoroutineScope, handler: RequestHandler) {
            val local = SocketAddress(InetAddress.getLoopbackAddress(), port)
            val connection = ServerIncomingConnection(received, sent, null, local)
            scope.startServerConnectionPipeline(connection, idleLimit) { request ->
                val message = request.receive(this)
                withContext(Dispatchers.Default) {
                    coroutineContext.job.invokeOnCompletion(::report)
                    handle(Exchange(message, output, received::isClosedForRead), handler)
                }
            }.invokeOnCompletion { socket.close() }
        }

        /** Ktor's pipeline drops what a handler throws, which would hide faults of the stand-in itself. */
        private fun report(failure: Throwable?) {
            val expected = failure == null || failure is CancellationException || failure is IOException
            if (!expected) logger.error("handling a request failed", failure)
        }

        private suspend fun handle(exchange: Exchange, handler: RequestHandler) {
            try {
                handler(exchange)
            } catch (aborted: CancellationException) {
                abort(aborted)
            } catch (broken: IOException) {
                abort(broken)
            } catch (invalid: IllegalArgumentException) {
                exchange.respond(HttpStatusCode.BadRequest, standInJson.encodeToString(ErrorBody("${invalid.message}")))
            }
        }

        private fun abort(reason: Exception): Nothing {
            val cause = IOException("connection aborted", reason)
            received.cancel(cause)
            sent.close(cause)
            socket.close()
            throw reason
        }
    }
}

/** Body of a response that refuses a request. */
@kotlinx.serialization.Serializable
internal data class ErrorBody(val error: String, val code: Int = 0)

private suspend fun Request.receive(scope: ServerRequestScope): ReceivedRequest {
    val target = uri.toString()
    val fields = headers.offsets().map { "${headers.nameAtOffset(it)}" to "${headers.valueAtOffset(it)}" }.toList()
    val query = parseQueryString(target.substringAfter('?', "")).entries().associate { it.key to it.value.last() }
    val verb = method.value
    release()
    return ReceivedRequest(verb, target.substringBefore('?'), query, fields, scope.input.toByteArray())
}
