package boragering.gateway

import boragering.core.Clock
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * The single-threaded event loop of a gateway. The host of a gateway runs one thread at a time, so that further threads
 * would only add locking and context switches.
 */
class GatewayLoop(private val clock: Clock) : AutoCloseable {
    internal val group = MultiThreadIoEventLoopGroup(1, WholeMillisecondWaits.factory(NioIoHandler.newFactory()))
    internal val eventLoop: EventLoop = group.next()

    /** The loop, for connections to other gateways, whose messages are then handled without waking another thread. */
    val peerLoop: EventLoopGroup get() = eventLoop

    /** Runs coroutines on the loop. */
    val dispatcher: CoroutineDispatcher = eventLoop.asCoroutineDispatcher()

    /** The current time of the monotonic clock. */
    fun now(): Duration = clock.monotonic()

    /** Runs [action] on the loop. */
    fun execute(action: () -> Unit) = eventLoop.execute(action)

    /** Runs [action] on the loop every [interval] until the loop is closed. */
    fun every(interval: Duration, action: () -> Unit) {
        val period = interval.inWholeMilliseconds
        eventLoop.scheduleWithFixedDelay(action, period, period, TimeUnit.MILLISECONDS)
    }

    /** Runs [action] on the loop after [delay]. */
    fun after(delay: Duration, action: () -> Unit) {
        eventLoop.schedule(action, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Calls [action] on any thread when the loop has ended, whether it was closed or failed. */
    fun onEnd(action: () -> Unit) {
        group.terminationFuture().addListener { action() }
    }

    override fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }
}
