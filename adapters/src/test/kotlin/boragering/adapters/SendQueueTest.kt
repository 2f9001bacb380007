package boragering.adapters

import boragering.core.membership.PeerMessageKind
import boragering.core.membership.PeerTrafficMetrics
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

private class DropRecorder : PeerTrafficMetrics by PeerTrafficMetrics.None {
    val kinds = mutableListOf<PeerMessageKind>()

    override fun dropped(kind: PeerMessageKind) {
        kinds += kind
    }
}

private fun item() = OutgoingFrame(PeerMessageKind.ITEMS, ByteArray(50_000))

class SendQueueTest : DescribeSpec({
    val unlimited = SendBudget(TestClock, Long.MAX_VALUE)

    describe("a full send queue") {
        it("drops the oldest items and keeps pings, so that a slow link does not cause a false suspicion of its peer") {
            val drops = DropRecorder()
            val queue = SendQueue(drops, unlimited)
            queue.offer(OutgoingFrame(PeerMessageKind.PING, ByteArray(10)))
            val items = List(9) { OutgoingFrame(PeerMessageKind.ITEMS, ByteArray(1024 * 1024)) }
            items.forEach(queue::offer)

            drops.kinds shouldContainExactly List(2) { PeerMessageKind.ITEMS }
            queue.poll()?.kind shouldBe PeerMessageKind.PING
            queue.poll() shouldBe items[2]
        }

        it("limits the number of small frames") {
            val drops = DropRecorder()
            val queue = SendQueue(drops, unlimited)
            repeat(5000) { queue.offer(OutgoingFrame(PeerMessageKind.ECHO, ByteArray(1))) }

            queue.drain().size shouldBe 4096
            drops.kinds.size shouldBe 904
        }
    }

    describe("a send queue") {
        it("sends a ping before items that were queued earlier") {
            val queue = SendQueue(PeerTrafficMetrics.None, unlimited)
            queue.offer(OutgoingFrame(PeerMessageKind.ITEMS, ByteArray(1)))
            queue.offer(OutgoingFrame(PeerMessageKind.PING, ByteArray(1)))

            listOf(queue.poll()?.kind, queue.poll()?.kind) shouldContainExactly
                listOf(PeerMessageKind.PING, PeerMessageKind.ITEMS)
        }
    }

    describe("the queues of many peers that do not read") {
        val maximumBytes = 1_000_000L

        class Fixture {
            val drops = DropRecorder()
            val budget = SendBudget(TestClock, maximumBytes)
            val queues = List(10) { SendQueue(drops, budget) }

            fun fill() = repeat(50) { queues.forEach { it.offer(item()) } }
        }

        it("hold no more together than the budget (guards against peers that exhaust the heap together)") {
            val fixture = Fixture().apply { fill() }
            fixture.budget.bytes shouldBeLessThanOrEqual maximumBytes
            fixture.drops.kinds.size shouldBe 500 - fixture.budget.bytes.toInt() / 50_000
        }

        it("still take pings (guards against peers that count as lost for want of room)") {
            val fixture = Fixture().apply { fill() }
            fixture.queues.forEach { it.offer(OutgoingFrame(PeerMessageKind.PING, ByteArray(100))) }
            fixture.queues.map { it.poll()?.kind } shouldContainExactly List(10) { PeerMessageKind.PING }
        }

        it("count what is being written until it has been (guards against bytes that wait in sockets)") {
            val fixture = Fixture().apply { fill() }
            val before = fixture.budget.bytes
            val frames = fixture.queues.mapNotNull { it.poll() }
            fixture.budget.bytes shouldBe before
            frames.forEach { fixture.queues.first().release(it) }
            fixture.budget.bytes shouldBe before - frames.sumOf { it.body.size }
        }

        it("have their room back once they are empty (guards against a process that degrades for good)") {
            val fixture = Fixture().apply { fill() }
            fixture.queues.forEach { it.clear() }
            fixture.budget.bytes shouldBe 0
        }

        it("make the oldest items of the same peer leave (guards against a queue that keeps what is outdated)") {
            val drops = DropRecorder()
            val queue = SendQueue(drops, SendBudget(TestClock, maximumBytes))
            val frames = List(30) { item() }
            frames.forEach(queue::offer)
            queue.drain().last() shouldBe frames.last()
        }
    }
})
