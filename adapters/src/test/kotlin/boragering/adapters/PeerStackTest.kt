package boragering.adapters

import arrow.core.Either
import boragering.core.AvailabilityZone
import boragering.core.DaemonId
import boragering.core.LeaseId
import boragering.core.Store
import boragering.core.StoreFailure
import boragering.core.StoreRevision
import boragering.core.membership.Item
import boragering.core.membership.Registration
import boragering.core.timeline.HybridClock
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import java.net.ServerSocket
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

/** One daemon's part in what daemons do together, over sockets. */
private class Node(name: String, seeds: List<String>) : AutoCloseable {
    private val id = DaemonId(name)
    private val scope = CoroutineScope(Dispatchers.Default)
    private val port = ServerSocket(0).use { it.localPort }
    private val identity = PeerIdentity(
        Registration(id, "127.0.0.1:$port", "", "", AvailabilityZone("zone"), "region"),
        PeerLinkSettings("127.0.0.1", port),
        SECRET,
        seeds,
    )
    private val ports =
        PeerStackPorts(DownStore, TestClock, HybridClock(id, TestClock), { }, Random(name.hashCode()), MetricRegistry())
    private val stack = PeerStack(identity, ports) { _, _ -> }

    val address = "127.0.0.1:$port"
    val items = stack.items
    val live get() = stack.membership.live.map { it.daemon.value }

    suspend fun start() = stack.start(scope)

    override fun close() {
        scope.cancel()
        stack.link.close()
    }
}

class PeerStackTest : DescribeSpec({
    describe("three daemons over loopback without the store") {
        it("find each other by one seed address, pass on a large item, and notice the end of one") {
            val names = listOf("a", "b", "c")
            val first = Node(names.first(), emptyList())
            val nodes = listOf(first) + names.drop(1).map { Node(it, listOf(first.address)) }
            try {
                nodes.forEach { it.start() }
                eventually(20.seconds) { nodes.forEach { it.live shouldBe names } }
                val item = Item("key", 1, "x".repeat(1_000_000))
                nodes[1].items.accept(item)
                eventually(20.seconds) { nodes.forEach { it.items.get("key") shouldBe item } }
                nodes[2].close()
                eventually(30.seconds) { nodes.take(2).forEach { it.live shouldBe names.take(2) } }
            } finally {
                nodes.forEach { it.close() }
            }
        }
    }
})
