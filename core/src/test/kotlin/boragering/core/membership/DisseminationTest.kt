package boragering.core.membership

import boragering.core.DaemonId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.random.Random

/** Daemons that know each other from the start and exchange only items. */
private class GossipCluster(private val scope: TestScope, count: Int, loss: Double) {
    private class FullMesh(override val self: Registration, all: List<Registration>) : Peers {
        override val live = all.toPersistentList()
    }

    private val clock = VirtualClock(scope)
    val network = PeerNetwork(scope.backgroundScope, loss, Random(count))
    val replicas = List(count) { ItemReplica(clock) }

    init {
        val all = List(count) { registration("daemon-$it") }
        replicas.forEachIndexed { index, items ->
            val self = all[index]
            val link = network.link(self.daemon)
            val dissemination = Dissemination(items, FullMesh(self, all), link, clock, Random(index))
            network.handlers[self.daemon] = dissemination::handle
            scope.backgroundScope.launch { dissemination.run() }
        }
    }

    /** Milliseconds until every daemon has [item], at most 60 s. */
    fun timeUntilKnown(item: Item): Long {
        val start = scope.currentTime
        while (replicas.any { it.get(item.key) != item } && scope.currentTime - start < 60_000) scope.advanceTimeBy(10)
        return scope.currentTime - start
    }

    fun sentInTenSeconds(): Int {
        network.sent.clear()
        scope.advanceTimeBy(10_000)
        return network.sent.size
    }
}

class DisseminationTest : DescribeSpec({
    val small = Item("key", 2, "content")
    val large = Item("key", 2, "x".repeat(16_384))

    describe("a newer item") {
        listOf(3 to 500L, 10 to 750L, 50 to 1_250L).forEach { (count, limit) ->
            it("reaches $count daemons within $limit ms when no message is lost") {
                runTest {
                    val cluster = GossipCluster(this, count, loss = 0.0)
                    cluster.replicas.first().accept(small)
                    cluster.timeUntilKnown(small) shouldBeLessThanOrEqual limit
                }
            }

            it("reaches $count daemons within 6 s when 3 of 10 messages are lost, even when it is large") {
                runTest {
                    val cluster = GossipCluster(this, count, loss = 0.3)
                    cluster.replicas.first().accept(large)
                    cluster.timeUntilKnown(large) shouldBeLessThanOrEqual 6_000
                }
            }
        }

        it("costs each daemon a number of messages that does not grow with the number of daemons") {
            runTest {
                val perDaemon = listOf(10, 50).map { count ->
                    val cluster = GossipCluster(this, count, loss = 0.0)
                    cluster.replicas.first().accept(small)
                    cluster.sentInTenSeconds() / count
                }
                perDaemon.forEach { it shouldBeLessThan 30 }
            }
        }

        it("is received about once by each daemon when it is large, since only its version is repeated") {
            runTest {
                val cluster = GossipCluster(this, 50, loss = 0.0)
                cluster.replicas.first().accept(large)
                cluster.timeUntilKnown(large)
                cluster.network.sent.count { it.kind == PeerMessageKind.ITEMS } shouldBeLessThan 60
            }
        }

        it("replaces an older one everywhere, even at a daemon that offers the older one") {
            runTest {
                val cluster = GossipCluster(this, 10, loss = 0.0)
                cluster.replicas.first().accept(small)
                cluster.replicas.last().accept(small.copy(version = 1))
                cluster.timeUntilKnown(small) shouldBeLessThanOrEqual 2_000
            }
        }
    }

    describe("daemons without new items") {
        it("exchange one hash per daemon and comparison when all versions are the same") {
            runTest {
                val cluster = GossipCluster(this, 10, loss = 0.0)
                cluster.replicas.forEach { replica -> replica.accept(small) }
                advanceTimeBy(5_000)
                cluster.sentInTenSeconds() shouldBeLessThan 10 * 7
                cluster.network.sent.map { it.kind }.toSet() shouldBe setOf(PeerMessageKind.DIGEST)
            }
        }
    }

    describe("a comparison of many items") {
        it("splits the versions over several messages, so that no frame exceeds 2 MiB") {
            runTest {
                val cluster = GossipCluster(this, 2, loss = 0.0)
                val digests = mutableListOf<Int>()
                val handler = cluster.network.handlers.getValue(DaemonId("daemon-1"))
                cluster.network.handlers[DaemonId("daemon-1")] = { from, message ->
                    digests += (message as? PeerMessage.Digest)?.versions.orEmpty().keys.sumOf { it.length }
                    handler(from, message)
                }
                val prefix = "key-".padEnd(100, 'x')
                repeat(20_000) { cluster.replicas.first().accept(Item("$prefix$it", 1, "")) }
                advanceTimeBy(150)
                cluster.replicas.last().accept(Item("$prefix-other", 1, ""))
                handler(DaemonId("daemon-0"), PeerMessage.DigestSummary(0))
                advanceTimeBy(30)
                digests.sum() shouldBeGreaterThan 2_000_000
                digests.max() shouldBeLessThan 300_000
            }
        }

        it("transfers all of them in frames of less than 2 MiB") {
            runTest {
                val cluster = GossipCluster(this, 2, loss = 0.0)
                val sizes = mutableListOf<Int>()
                val handler = cluster.network.handlers.getValue(DaemonId("daemon-1"))
                cluster.network.handlers[DaemonId("daemon-1")] = { from, message ->
                    sizes += (message as? PeerMessage.Items)?.items.orEmpty().sumOf { it.content.length }
                    handler(from, message)
                }
                repeat(3_000) { cluster.replicas.first().accept(Item("key-$it", 1, "x".repeat(5_000))) }
                advanceTimeBy(30_000)
                cluster.replicas.last().all("key-") shouldHaveSize 3_000
                sizes.max() shouldBeLessThan 1024 * 1024
            }
        }
    }
})
