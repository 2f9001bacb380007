package boragering.gateway

import boragering.fleet.Address
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import java.net.ConnectException
import java.net.InetSocketAddress
import kotlin.time.Duration

/** Settings and callbacks that all connection pools of a gateway share. */
internal class ConnectionPoolContext(
    val loop: GatewayLoop,
    val connectTimeout: Duration,
    val onConnect: () -> Unit = {},
)

/**
 * The connections to one target. Not thread safe; used on the event loop only.
 *
 * @property identity how responses are identified; `null` if they are not.
 */
internal class ConnectionPool(
    private val context: ConnectionPoolContext,
    private val address: Address,
    val identity: ResponseIdentity? = null,
) {
    private val idleConnections = ArrayDeque<TargetConnection>()
    private val openConnections = HashSet<TargetConnection>()
    private var closed = false

    /** Number of connections that are open or being opened. */
    val size: Int get() = openConnections.size

    fun now(): Duration = context.loop.now()

    /** Sends [call] over an idle or a new connection; the pool has [limit] connections at most. */
    fun send(call: TargetCall, limit: Int): CallHandle {
        val handle = CallHandle(call)
        val connection = takeIdle(call)
        when {
            connection != null -> handle.begin(connection)
            size >= limit -> handle.fail("all $limit connections to $address are in use")
            else -> connect(handle)
        }
        return handle
    }

    fun release(connection: TargetConnection) {
        if (closed) connection.channel.close() else idleConnections.addLast(connection)
    }

    /** Closes idle connections at once, and those in use when their calls have ended. */
    fun close() {
        closed = true
        closeIdle()
    }

    /** Closes idle connections. */
    fun closeIdle() = idleConnections.toList().forEach { it.channel.close() }

    /** Takes the most recently used connection if it can carry [call], and closes those that are no longer usable. */
    private fun takeIdle(call: TargetCall): TargetConnection? {
        val now = now()
        while (idleConnections.isNotEmpty() && !idleConnections.last().isUsable(now, limit = null)) {
            idleConnections.removeLast().channel.close()
        }
        return idleConnections.lastOrNull()
            ?.takeIf { it.isUsable(now, call.maxIdleTime) }
            ?.also { idleConnections.removeLast() }
    }

    /**
     * Opens a connection and closes it, and passes to [onResult] whether the target's host refused it. A host that does
     * not answer refuses nothing.
     */
    fun checkRefusal(onResult: (Boolean) -> Unit) = open(ChannelInboundHandlerAdapter()) { channel, failure ->
        channel.close()
        onResult(failure is ConnectException && failure !is ConnectTimeoutException)
    }

    private fun connect(handle: CallHandle) {
        open(initializer(TargetResponseDecoder())) { channel, failure ->
            if (failure == null) {
                handle.begin(channel.pipeline().get(TargetConnection::class.java))
            } else {
                handle.fail("no connection to $address: ${failure.message}")
            }
        }
    }

    private fun open(handler: ChannelHandler, onResult: (Channel, Throwable?) -> Unit) {
        context.onConnect()
        Bootstrap().group(context.loop.group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, context.connectTimeout.inWholeMilliseconds.toInt())
            .option(ChannelOption.TCP_NODELAY, true)
            // The end that the target sends, and a failed write, differ from other ends of the connection.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.AUTO_CLOSE, false)
            .handler(handler)
            .connect(InetSocketAddress(address.host, address.port))
            .addListener { future -> onResult((future as ChannelFuture).channel(), future.cause()) }
    }

    private fun initializer(decoder: TargetResponseDecoder): ChannelInitializer<Channel> =
        object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) {
                val connection = TargetConnection(this@ConnectionPool, channel, decoder)
                openConnections += connection
                // A connection that could not be opened closes as well, but never becomes inactive.
                channel.closeFuture().addListener {
                    openConnections.remove(connection)
                    idleConnections.remove(connection)
                }
                channel.pipeline().addLast(decoder, HttpRequestEncoder(), connection, connection.endHandler)
            }
        }
}

/** Whether a call at [now] can use this connection, provided that it has been idle for less than [limit]. */
private fun TargetConnection.isUsable(now: Duration, limit: Duration?): Boolean {
    val time = now - idleSince
    return idle && time < keepAliveTime && (limit == null || time < limit)
}

/** Controls a call in progress. */
internal class CallHandle(private val call: TargetCall) {
    private var connection: TargetConnection? = null
    private var cancelled = false

    /** Whether the request was passed to a connection. */
    val sent: Boolean get() = connection != null

    /** Cancels the call; its [TargetCall] receives no more events. */
    fun cancel() {
        cancelled = true
        connection?.cancel(call)
    }

    /** Pauses or resumes reading of the response, which limits the memory that a slow caller's response uses. */
    fun setReading(enabled: Boolean) {
        connection?.setReading(enabled)
    }

    fun begin(opened: TargetConnection) {
        if (cancelled) {
            opened.channel.close()
        } else {
            connection = opened
            opened.start(call)
        }
    }

    fun fail(reason: String) {
        if (!cancelled) call.onFailure(CallFailure.NotSent(reason))
    }
}
