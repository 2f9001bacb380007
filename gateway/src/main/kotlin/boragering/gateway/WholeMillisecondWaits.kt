package boragering.gateway

import io.netty.channel.IoHandle
import io.netty.channel.IoHandler
import io.netty.channel.IoHandlerContext
import io.netty.channel.IoHandlerFactory
import io.netty.channel.IoRegistration
import java.util.concurrent.TimeUnit

/**
 * Makes an event loop wait for its timers in whole milliseconds, rounded up, so that a timer runs less than 1 ms
 * later than it would otherwise.
 *
 * Netty's NIO handler rounds the time until the next timer to the nearest millisecond. When it rounds down, the loop
 * wakes up to 0.5 ms early and polls the selector without blocking until the timer is due.
 */
internal class WholeMillisecondWaits(private val handler: IoHandler) : IoHandler {
    // Delegation by Kotlin would leave out the methods that have a default implementation.
    override fun initialize() = handler.initialize()

    override fun run(context: IoHandlerContext): Int = handler.run(RoundedContext(context))

    override fun prepareToDestroy() = handler.prepareToDestroy()

    override fun destroy() = handler.destroy()

    override fun register(handle: IoHandle): IoRegistration = handler.register(handle)

    override fun wakeup() = handler.wakeup()

    override fun isCompatible(handleType: Class<out IoHandle>): Boolean = handler.isCompatible(handleType)

    private class RoundedContext(private val context: IoHandlerContext) : IoHandlerContext {
        override fun canBlock(): Boolean = context.canBlock()

        override fun delayNanos(currentTimeNanos: Long): Long = roundUp(context.delayNanos(currentTimeNanos))

        override fun deadlineNanos(): Long = context.deadlineNanos()

        override fun reportActiveIoTime(activeNanos: Long) = context.reportActiveIoTime(activeNanos)

        override fun shouldReportActiveIoTime(): Boolean = context.shouldReportActiveIoTime()
    }

    companion object {
        private val MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1)

        /** Creates handlers that delegate to those of [factory]. */
        fun factory(factory: IoHandlerFactory): IoHandlerFactory =
            IoHandlerFactory { executor -> WholeMillisecondWaits(factory.newHandler(executor)) }

        /** Returns [delay] in nanoseconds as whole milliseconds, rounded up; a wait without an end stays without. */
        internal fun roundUp(delay: Long): Long = when {
            delay <= 0 || delay > Long.MAX_VALUE - MILLISECOND -> delay
            else -> (delay + MILLISECOND - 1) / MILLISECOND * MILLISECOND
        }
    }
}
