package boragering.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.netty.channel.IoHandler
import io.netty.channel.IoHandlerContext
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.util.concurrent.TimeUnit.NANOSECONDS
import java.util.concurrent.atomic.AtomicInteger

class WholeMillisecondWaitsTest : DescribeSpec({
    describe("an event loop that waits in whole milliseconds") {
        it("rounds up, but makes no timer later that is due in whole milliseconds") {
            listOf(1L, 10_000_000, 10_000_001).map(WholeMillisecondWaits::roundUp) shouldBe
                listOf(1_000_000, 10_000_000, 11_000_000)
        }

        it("neither delays a timer that is due nor overflows when there is no timer") {
            listOf(-5, 0, Long.MAX_VALUE).forEach { WholeMillisecondWaits.roundUp(it) shouldBe it }
        }

        it("runs the timers of a loop when they are due, without polls before") {
            val runs = AtomicInteger()
            val nio = NioIoHandler.newFactory()
            val group = MultiThreadIoEventLoopGroup(1) {
                CountingHandler(WholeMillisecondWaits(nio.newHandler(it)), runs)
            }
            repeat(TIMERS) {
                val began = System.nanoTime()
                group.schedule({}, DELAY_NANOSECONDS, NANOSECONDS).sync()
                System.nanoTime() - began shouldBeGreaterThanOrEqual DELAY_NANOSECONDS
            }
            group.shutdownGracefully(0, 0, NANOSECONDS).sync()
            runs.get() shouldBeLessThan TIMERS * MAX_RUNS
        }
    }
})

/** Counts in [runs] how often the loop waits or polls. */
private class CountingHandler(private val handler: IoHandler, private val runs: AtomicInteger) : IoHandler by handler {
    override fun initialize() = handler.initialize()

    override fun run(context: IoHandlerContext): Int = handler.run(context).also { runs.incrementAndGet() }

    override fun destroy() = handler.destroy()
}

private const val TIMERS = 50

/** Rounded to the nearest millisecond, the wait would end 0.4 ms early. */
private const val DELAY_NANOSECONDS = 5_400_000L

/** Waits and polls per timer. Netty's rounding needed 775 for the 50 timers, whole milliseconds 128. */
private const val MAX_RUNS = 4
