package boragering.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeFalse
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.seconds

/** Memory for all bodies, of which streams may use a quarter, in bytes. */
private const val MEMORY = 32L shl 20
private const val STREAM_MEMORY = MEMORY / 4

/** Bytes of a stream beyond the limit: what one read brings while the reading stops. */
private const val ONE_READ = 256L shl 10
private const val EVENT_BYTES = 16 shl 10

/** Callers that read streams more slowly than targets write them. */
class SlowStreamTest : DescribeSpec({
    fun text(number: Int) = "id: $number\ndata: ${"x".repeat(EVENT_BYTES)}\n\n"

    /** A target whose streams have [events] events; [onWritten] is called when all of them were written. */
    fun streaming(events: Int, onWritten: () -> Unit = {}) = ScriptedTarget {
        beginStream()
        repeat(events) { event(text(it + 1)) }
        endStream()
        onWritten()
    }

    fun fixture(vararg targets: ScriptedTarget) =
        GatewayFixture(*targets, timeout = 20.seconds, capacity = GatewayCapacity(bodyBytes = MEMORY))

    describe("a stream that its caller does not read") {
        it("is read to its end while there is memory (guards against streams that their targets abort)") {
            val events = 384
            val written = CountDownLatch(1)
            fixture(streaming(events, written::countDown)).use { gateway ->
                val caller = gateway.caller()
                caller.request("/resumable_stream/a")
                written.await()
                eventually(5.seconds) { gateway.gateway.requestsInProgress shouldBe 0 }
                gateway.gateway.streamBytes shouldBeGreaterThan 0
                caller.answer().shouldNotBeNull().body shouldBe (1..events).joinToString("", transform = ::text)
                eventually(5.seconds) { gateway.gateway.bodyBytes shouldBe 0 }
            }
        }

        it("is whole after a pause, from one target (guards against streams that are sent again)") {
            val events = 1_200
            val target = streaming(events)
            fixture(target, target).use { gateway ->
                val caller = gateway.caller()
                caller.request("/resumable_stream/a", "Time-Left: 20000")
                eventually(5.seconds) { gateway.gateway.streamBytes shouldBeGreaterThan STREAM_MEMORY - ONE_READ }
                gateway.gateway.streamBytes shouldBeLessThanOrEqual STREAM_MEMORY
                gateway.clock.advance(3.seconds)
                caller.answer().shouldNotBeNull().body shouldBe (1..events).joinToString("", transform = ::text)
                target.requests.count { it.header("id") == "r1" } shouldBe 1
                eventually(5.seconds) { gateway.gateway.bodyBytes shouldBe 0 }
            }
        }

        it("costs no request of another caller (guards against refusals for want of memory)") {
            val streams = 4
            val target = ScriptedTarget {
                if (request.startLine.contains("stream")) {
                    beginStream()
                    repeat(1_200) { event(text(it + 1)) }
                    endStream()
                } else {
                    answer(200, "done")
                }
            }
            fixture(target).use { gateway ->
                val slow = List(streams) { gateway.caller().apply { id = "slow-$it" } }
                slow.forEach { it.request("/resumable_stream/a") }
                eventually(5.seconds) { gateway.gateway.streamBytes shouldBeGreaterThan STREAM_MEMORY - ONE_READ }
                repeat(20) {
                    val caller = gateway.caller().apply { id = "other-$it" }
                    caller.call("/non_idempotent/a", body = "x".repeat(90_000)).status shouldBe 200
                }
                gateway.gateway.bodyBytes shouldBeLessThanOrEqual MEMORY
                slow.forEach { it.close() }
                eventually(5.seconds) { gateway.gateway.bodyBytes shouldBe 0 }
            }
        }
    }

    describe("a target that does not read its requests") {
        it("costs no more than their memory, and no request to another (guards against an exhausted heap)") {
            val unread = CountDownLatch(1)
            val stuck = ScriptedTarget { answer(200, "late") }.apply { beforeRead = unread::await }
            val other = ScriptedTarget { answer(200, "done") }
            fixture(stuck, other).use { gateway ->
                val callers = List(40) { gateway.caller().apply { id = "r$it" } }
                callers.forEach { it.request("/idempotent/a", body = "x".repeat(90_000)) }
                callers.forEach { it.answer().shouldNotBeNull().body shouldBe "done" }
                gateway.gateway.highestBodyBytes shouldBeLessThanOrEqual MEMORY
                eventually(5.seconds) { gateway.gateway.bodyBytes shouldBe 0 }
                stuck.crashed.shouldBeFalse()
            }
            unread.countDown()
        }
    }
})
