package boragering.adapters

import arrow.core.Either
import boragering.core.AvailabilityZone
import boragering.core.DaemonId
import boragering.core.LeaseId
import boragering.core.Store
import boragering.core.StoreFailure
import boragering.core.StoreRevision
import boragering.core.membership.Dissemination
import boragering.core.membership.HandshakeIdentity
import boragering.core.membership.Item
import boragering.core.membership.ItemReplica
import boragering.core.membership.Membership
import boragering.core.membership.MembershipPorts
import boragering.core.membership.PauseDetector
import boragering.core.membership.PeerEnvelope
import boragering.core.membership.PeerTraffic
import boragering.core.membership.Registration
import boragering.core.timeline.HybridTime
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private object DownStore : Store {
    private val down = Either.Left(StoreFailure.NotApplied("store is down"))

    override suspend fun get(key: String) = down

    override suspend fun getIfNewer(key: String, revision: StoreRevision) = down

    override suspend fun range(prefix: String) = down

    override suspend fun compareAndSwap(key: String, expected: StoreRevision, value: String, lease: LeaseId?) = down

    override suspend fun compareAndDelete(key: String, expected: StoreRevision) = down

    override suspend fun grantLease(timeToLive: Duration) = down

    override suspend fun renewLease(lease: LeaseId) = down

    override suspend fun revokeLease(lease: LeaseId) = down

    override suspend fun awaitChange(prefix: String, after: StoreRevision, timeout: Duration) = down
}

/** Membership and dissemination of one daemon over sockets, wired as in the daemon. */
private class Stack(name: String) : PeerLinkHandler, AutoCloseable {
    private val id = DaemonId(name)
    private val scope = CoroutineScope(Dispatchers.Default)
    private val random = Random(name.hashCode())
    private val ports = PeerLinkPorts(TestClock, random, PeerTraffic.None)
    private val link = SocketPeerLink(PeerLinkSettings("127.0.0.1", 0), HandshakeIdentity(id, SECRET), ports, this)
    val items = ItemReplica(TestClock)
    private lateinit var membership: Membership
    private lateinit var dissemination: Dissemination

    val live get() = membership.live.map { it.daemon.value }

    /** Starts with [seeds] and returns the address. */
    suspend fun start(seeds: List<String>): String {
        val address = "127.0.0.1:${link.start()}"
        val self = Registration(id, address, "", "", AvailabilityZone("zone"), "region")
        val ports = MembershipPorts(DownStore, link, link, TestClock, { }, PauseDetector(TestClock))
        membership = Membership(self, items, ports, seeds, random)
        dissemination = Dissemination(items, membership, link, TestClock, random)
        scope.launch { membership.run() }
        scope.launch { dissemination.run() }
        return address
    }

    override fun address(daemon: DaemonId) = membership.address(daemon)

    override fun stamp() = HybridTime(0, 0, id)

    override fun receive(from: DaemonId, envelope: PeerEnvelope) {
        membership.handle(from, envelope.message)
        dissemination.handle(from, envelope.message)
    }

    override fun close() {
        scope.cancel()
        link.close()
    }
}

class PeerStackTest : DescribeSpec({
    describe("three daemons over loopback without the store") {
        it("find each other by one seed address, pass on a large item, and notice the end of one") {
            val names = listOf("a", "b", "c")
            val stacks = names.map(::Stack)
            try {
                val seed = stacks.first().start(emptyList())
                stacks.drop(1).forEach { it.start(listOf(seed)) }
                eventually(20.seconds) { stacks.forEach { it.live shouldBe names } }
                val item = Item("key", 1, "x".repeat(1_000_000))
                stacks[1].items.accept(item)
                eventually(20.seconds) { stacks.forEach { it.items.get("key") shouldBe item } }
                stacks[2].close()
                eventually(30.seconds) { stacks.take(2).forEach { it.live shouldBe names.take(2) } }
            } finally {
                stacks.forEach { it.close() }
            }
        }
    }
})
