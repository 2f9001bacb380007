package boragering.adapters

import boragering.core.membership.PeerMessageKind
import boragering.core.membership.PeerTrafficMetrics
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe

private class DropRecorder : PeerTrafficMetrics by PeerTrafficMetrics.None {
    val kinds = mutableListOf<PeerMessageKind>()

    override fun dropped(kind: PeerMessageKind) {
        kinds += kind
    }
}

class SendQueueTest : DescribeSpec({
    describe("a full send queue") {
        it("drops the oldest items and keeps pings, so that a slow link does not cause a false suspicion of its peer") {
            val drops = DropRecorder()
            val queue = SendQueue(drops)
            queue.offer(OutgoingFrame(PeerMessageKind.PING, ByteArray(10)))
            val items = List(9) { OutgoingFrame(PeerMessageKind.ITEMS, ByteArray(1024 * 1024)) }
            items.forEach(queue::offer)

            drops.kinds shouldContainExactly List(2) { PeerMessageKind.ITEMS }
            queue.poll()?.kind shouldBe PeerMessageKind.PING
            queue.poll() shouldBe items[2]
        }

        it("limits the number of small frames") {
            val drops = DropRecorder()
            val queue = SendQueue(drops)
            repeat(5000) { queue.offer(OutgoingFrame(PeerMessageKind.ECHO, ByteArray(1))) }

            queue.drain().size shouldBe 4096
            drops.kinds.size shouldBe 904
        }
    }

    describe("a send queue") {
        it("sends a ping before items that were queued earlier") {
            val queue = SendQueue(PeerTrafficMetrics.None)
            queue.offer(OutgoingFrame(PeerMessageKind.ITEMS, ByteArray(1)))
            queue.offer(OutgoingFrame(PeerMessageKind.PING, ByteArray(1)))

            listOf(queue.poll()?.kind, queue.poll()?.kind) shouldContainExactly
                listOf(PeerMessageKind.PING, PeerMessageKind.ITEMS)
        }
    }
})
