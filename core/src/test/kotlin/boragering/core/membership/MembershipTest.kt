package boragering.core.membership

import boragering.core.DaemonId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.random.Random

private class Cluster(private val scope: TestScope, count: Int, storeAvailable: Boolean = true) {
    private val clock = VirtualClock(scope)
    val store = MemoryStore(clock).apply { available = storeAvailable }
    val network = PeerNetwork(scope.backgroundScope, 0.0, Random(count))
    val names = List(count) { "daemon-${it.toString().padStart(2, '0')}" }
    val nodes = names.map { PeerNode(registration(it), network, store, clock, seeds = names.take(2)) }

    fun start(started: List<PeerNode> = nodes) = apply {
        started.forEach { it.start(scope.backgroundScope) }
        scope.advanceTimeBy(15_000)
    }

    /** Milliseconds until [condition], checked every 50 ms, at most 5 minutes. */
    fun until(always: () -> Unit = {}, condition: () -> Boolean): Long {
        val start = scope.currentTime
        while (!condition() && scope.currentTime - start < 300_000) {
            scope.advanceTimeBy(50)
            always()
        }
        return scope.currentTime - start
    }

    /** Starts a daemon at the address of [former]. */
    fun successor(former: PeerNode, name: String): PeerNode =
        PeerNode(registration(name, former.self.daemon.value), network, store, clock, seeds = names.take(2))
            .start(scope.backgroundScope)

    fun isolate(node: PeerNode) = partition { it == node.self.daemon }

    fun partition(side: (DaemonId) -> Boolean) {
        network.connected = { from, to -> side(from) == side(to) }
    }

    fun heal() {
        network.connected = { _, _ -> true }
    }

    fun allLive(among: List<PeerNode> = nodes) = among.all { it.live == names }

    suspend fun registered() = store.range(Registration.KEY_PREFIX).getOrNull().orEmpty().map { it.key }
}

class MembershipTest : DescribeSpec({
    describe("a daemon among many") {
        it("sends to few others (guards against links between all daemons)") {
            runTest {
                val cluster = Cluster(this, 60).start()
                cluster.network.sent.clear()
                advanceTimeBy(120_000)
                val recipients = cluster.network.sent.groupBy({ it.from }, { it.to }).values.map { it.toSet().size }
                recipients.max() shouldBeLessThan 16
            }
        }
    }

    describe("daemons that start") {
        it("send each registration a few times only (guards against a startup cost quadratic in their number)") {
            runTest {
                val cluster = Cluster(this, 60).start()
                val stated = cluster.network.sent.count { it.kind == PeerMessageKind.ITEMS }
                // The number of messages that gossiping every item twice takes.
                stated / 60 shouldBeLessThan 2 * Dissemination.GOSSIP_ROUNDS * Dissemination.FANOUT
            }
        }

        it("know each other from the registrations") {
            runTest { Cluster(this, 10).start().allLive() shouldBe true }
        }

        it("know each other from seed addresses when the store is down") {
            runTest { Cluster(this, 10, storeAvailable = false).start().allLive() shouldBe true }
        }

        it("take the highest revision that their peers know when the store is down") {
            runTest {
                val cluster = Cluster(this, 10, storeAvailable = false)
                cluster.start(cluster.nodes.dropLast(1))
                cluster.nodes[0].items.accept(Item("boragering/catalogue/head", 7, "old"))
                cluster.nodes[5].items.accept(Item("boragering/catalogue/head", 8, "new"))
                val last = cluster.nodes.last().start(backgroundScope)
                cluster.until { last.items.get("boragering/catalogue/head")?.version == 8L } shouldBeLessThan 5_000
            }
        }
    }

    describe("a daemon that crashes") {
        it("is declared lost by all others a few seconds after the suspicion timeout") {
            runTest {
                val cluster = Cluster(this, 20).start()
                val victim = cluster.nodes[7].also { it.kill() }
                val others = cluster.nodes - victim
                val time = cluster.until { others.none { victim.self.daemon.value in it.live } }
                time shouldBeGreaterThan 5_500
                time shouldBeLessThan 12_000
                others.forEach { it.live shouldContainExactly cluster.names - victim.self.daemon.value }
            }
        }

        it("is declared lost by the only other daemon once its registration has expired") {
            runTest {
                val cluster = Cluster(this, 2).start()
                cluster.nodes[1].kill()
                cluster.until { cluster.nodes[0].live.size == 1 } shouldBeLessThan 20_000
            }
        }
    }

    describe("a daemon that is unreachable for 4 s") {
        it("refutes the suspicion and stays live for all daemons") {
            runTest {
                val cluster = Cluster(this, 10).start()
                cluster.isolate(cluster.nodes[3])
                cluster.until(always = { cluster.allLive() shouldBe true }) { currentTime >= 19_000 }
                val suspected = cluster.nodes[0].items.get(Registration.key(cluster.nodes[3].self.daemon))!!
                DaemonRecord.of(suspected)?.state shouldBe DaemonState.SUSPECTED
                cluster.heal()
                cluster.until(always = { cluster.allLive() shouldBe true }) { currentTime >= 60_000 }
            }
        }
    }

    describe("a daemon that is cut off from all peers") {
        it("keeps its view while the registrations contain the others, so that it does not plan for all") {
            runTest {
                val cluster = Cluster(this, 10).start()
                val isolated = cluster.nodes[3]
                cluster.isolate(isolated)
                cluster.until(always = { isolated.live shouldBe cluster.names }) { currentTime >= 200_000 }
                (cluster.nodes - isolated).forEach { it.live shouldBe cluster.names - isolated.self.daemon.value }
                cluster.heal()
                cluster.until { cluster.allLive() } shouldBeLessThan 30_000
            }
        }

        it("declares all peers lost when the store has not answered for a minute either") {
            runTest {
                val cluster = Cluster(this, 10).start()
                val isolated = cluster.nodes[3]
                cluster.isolate(isolated)
                cluster.store.available = false
                val time = cluster.until { isolated.live.size == 1 }
                time shouldBeGreaterThan 30_000
                time shouldBeLessThan 100_000
            }
        }
    }

    describe("a partition into halves") {
        it("leaves each side with its own daemons, and no side loses its own daemons while the partition heals") {
            runTest {
                val cluster = Cluster(this, 10).start()
                val (left, right) = cluster.nodes.chunked(5)
                val leftNames = cluster.names.take(5)
                cluster.partition { it.value in leftNames }
                cluster.until { left.all { it.live == leftNames } && right.all { it.live.size == 5 } } shouldBeLessThan
                    20_000
                cluster.heal()
                val keepsOwn = {
                    left.forEach { node -> leftNames.forEach { node.live shouldContain it } }
                }
                cluster.until(keepsOwn) { cluster.allLive() } shouldBeLessThan 40_000
            }
        }
    }

    describe("a daemon that was paused") {
        it("is declared lost and becomes live again only through a heartbeat sent after the pause") {
            runTest {
                val cluster = Cluster(this, 10).start()
                val paused = cluster.nodes[4].also { it.kill() }
                val key = Registration.key(paused.self.daemon)
                val before = DaemonRecord.of(paused.items.get(key)!!)!!
                advanceTimeBy(30_000)
                cluster.nodes[0].items.accept(before.toItem()) shouldBe false
                paused.start(backgroundScope)
                cluster.until { cluster.allLive() } shouldBeLessThan 5_000
                DaemonRecord.of(cluster.nodes[0].items.get(key)!!)!!.heartbeat shouldBeGreaterThan before.heartbeat
            }
        }

        it("discards its records after a long pause, so that it does not reintroduce daemons that ended") {
            runTest {
                val cluster = Cluster(this, 10).start()
                val paused = cluster.nodes[4].also { it.kill() }
                val ended = cluster.nodes[5].also { it.kill() }
                advanceTimeBy(25 * 60_000)
                paused.start(backgroundScope)
                val remaining = cluster.names - ended.self.daemon.value
                val others = cluster.nodes - ended
                val endedStaysAbsent = { others.forEach { (ended.self.daemon.value in it.live) shouldBe false } }
                cluster.until(endedStaysAbsent) { others.all { it.live == remaining } } shouldBeLessThan 5_000
                cluster.nodes[0].items.get(Registration.key(ended.self.daemon)) shouldBe null
            }
        }
    }

    describe("a daemon that leaves on purpose") {
        it("is removed by all others within 2 s and from the registrations") {
            runTest {
                val cluster = Cluster(this, 20).start()
                val leaving = cluster.nodes[4]
                leaving.membership.leave()
                leaving.kill()
                currentTime shouldBeLessThan 17_000
                (cluster.nodes - leaving).forEach { it.live shouldBe cluster.names - leaving.self.daemon.value }
                cluster.registered().size shouldBe 19
            }
        }
    }

    describe("a daemon that starts at the address of one that was killed") {
        it("makes all others remove the killed daemon quickly (guards against assigning work to an ended daemon)") {
            runTest {
                val cluster = Cluster(this, 5).start()
                val killed = cluster.nodes[2].also { it.kill() }
                val successor = cluster.successor(killed, "daemon-new")
                val names = (cluster.names - killed.self.daemon.value + "daemon-new").sorted()
                val all = cluster.nodes - killed + successor
                cluster.until { all.all { it.live == names } } shouldBeLessThan 2_500
            }
        }
    }

    describe("a registration") {
        it("is written again after the store was down for longer than the lease") {
            runTest {
                val cluster = Cluster(this, 3).start()
                cluster.store.available = false
                advanceTimeBy(30_000)
                cluster.store.available = true
                advanceTimeBy(15_000)
                cluster.registered() shouldContainExactly cluster.nodes.map { Registration.key(it.self.daemon) }
                cluster.allLive() shouldBe true
            }
        }
    }

    describe("the cost of membership") {
        listOf(10, 50).forEach { count ->
            it("is bounded for each of $count daemons, and no kind of message goes to all others") {
                runTest {
                    val cluster = Cluster(this, count).start()
                    advanceTimeBy(15_000)
                    cluster.network.sent.clear()
                    val callsBefore = cluster.store.calls
                    advanceTimeBy(10_000)
                    cluster.network.sent.size / count shouldBeLessThan 40
                    (cluster.store.calls - callsBefore) / count shouldBeLessThan 5
                }
            }
        }

        it("includes no kind of message that a daemon sends to every other one, even when an item changes") {
            runTest {
                val cluster = Cluster(this, 50).start()
                advanceTimeBy(15_000)
                cluster.network.sent.clear()
                cluster.nodes[0].items.accept(Item("key", 1, "content"))
                advanceTimeBy(2_000)
                val recipients = cluster.network.sent.groupBy({ it.from to it.kind }, { it.to }).mapValues { (_, to) ->
                    to.toSet().size
                }
                recipients.values.max() shouldBeLessThan 25
            }
        }
    }
})
