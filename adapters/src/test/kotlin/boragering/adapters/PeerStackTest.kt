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
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private object UnavailableStore : Store {
    private val unavailable = Either.Left(StoreFailure.NotApplied("store is unavailable"))

    override suspend fun get(key: String) = unavailable

    override suspend fun getIfNewer(key: String, revision: StoreRevision) = unavailable

    override suspend fun range(prefix: String) = unavailable

    override suspend fun compareAndSwap(key: String, expected: StoreRevision, value: String, lease: LeaseId?) =
        unavailable

    override suspend fun compareAndDelete(key: String, expected: StoreRevision) = unavailable

    override suspend fun grantLease(timeToLive: Duration) = unavailable

    override suspend fun renewLease(lease: LeaseId) = unavailable

    override suspend fun revokeLease(lease: LeaseId) = unavailable

    override suspend fun awaitChange(prefix: String, after: StoreRevision, timeout: Duration) = unavailable
}

/** The [PeerStack] of one daemon, listening on a loopback port. */
private class TestDaemon(name: String, seeds: List<String>) : AutoCloseable {
    private val id = DaemonId(name)
    private val scope = CoroutineScope(Dispatchers.Default)
    private val port = FreePorts.next()
    private val settings = PeerStackSettings(
        Registration(id, "127.0.0.1:$port", "", "", AvailabilityZone("zone"), "region"),
        PeerLinkSettings("127.0.0.1", port),
        SECRET,
        seeds,
    )
    private val ports =
        PeerStackPorts(
            UnavailableStore,
            TestClock,
            HybridClock(id, TestClock),
            { },
            Random(name.hashCode()),
            MetricRegistry(),
        )
    private val stack = PeerStack(settings, ports) { _, _ -> }

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
    describe("three daemons on loopback whose store is unavailable") {
        it("discover each other through one seed, disseminate a large item, and detect that one has stopped") {
            val names = listOf("a", "b", "c")
            val first = TestDaemon(names.first(), emptyList())
            val daemons = listOf(first) + names.drop(1).map { TestDaemon(it, listOf(first.address)) }
            try {
                daemons.forEach { it.start() }
                eventually(20.seconds) { daemons.forEach { it.live shouldBe names } }
                val item = Item("key", 1, "x".repeat(1_000_000))
                daemons[1].items.accept(item)
                eventually(20.seconds) { daemons.forEach { it.items.get("key") shouldBe item } }
                daemons[2].close()
                eventually(30.seconds) { daemons.take(2).forEach { it.live shouldBe names.take(2) } }
            } finally {
                daemons.forEach { it.close() }
            }
        }
    }
})
