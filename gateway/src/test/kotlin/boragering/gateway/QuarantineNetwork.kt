package boragering.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import boragering.adapters.MetricRegistry
import boragering.core.AvailabilityZone
import boragering.core.DaemonId
import boragering.core.InstanceId
import boragering.core.LeaseId
import boragering.core.Store
import boragering.core.StoreFailure
import boragering.core.StoreRevision
import boragering.core.StoredValue
import boragering.core.SwapOutcome
import boragering.core.membership.PeerLink
import boragering.core.membership.Peers
import boragering.core.membership.Registration
import boragering.fleet.InstanceStart
import boragering.fleet.LostRequest
import boragering.fleet.PromptPart
import boragering.fleet.ServiceName
import boragering.fleet.SharedPart
import boragering.fleet.TargetCrash
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import java.util.concurrent.CompletableFuture
import kotlin.random.Random
import kotlin.time.Duration

/** Gateways on one event loop that share quarantines by messages without a network and by the documents of a store. */
internal class QuarantineNetwork(count: Int) : AutoCloseable {
    val clock = MovableClock()
    private val loop = GatewayLoop(clock)
    private val nodes = ArrayList<Node>()
    private var targets = 0
    val store = DocumentStore()

    init {
        onLoop { repeat(count) { nodes += Node(it) } }
    }

    /** The gateways that keep requests with [part] from targets. */
    fun refusing(part: SharedPart): Int = onLoop { nodes.count { it.guard.waitTime(listOf(part)) != null } }

    /** A crash of a target at which a request with [part] was lost, reported to the others by the gateway [number]. */
    fun crash(number: Int, part: SharedPart) {
        onLoop {
            val lost = LostRequest(persistentListOf(part.part), loop.now())
            val start = InstanceStart(InstanceId("t${targets++}"), 1)
            nodes[number].guard.onCrash(TargetCrash(start, part.service, loop.now(), persistentListOf(lost)))
        }
        awaitDelivery()
    }

    /**
     * Waits until messages have arrived. A message holds an age, so that one that is on its way while the clock is
     * advanced reports a crash too late, which then coincides with the next one and does not count.
     */
    private fun awaitDelivery() = onLoop { }

    /** An answer to a request with [part] at the gateway with [number]. */
    fun answer(number: Int, part: SharedPart) = onLoop { nodes[number].guard.onAnswered(listOf(part)) }

    /** Whether all gateways have made known what they have to. */
    fun settled(): Boolean = onLoop { nodes.all { it.exchange.settled } }

    /** Adds a gateway, which reads the store unless that is down. */
    fun add() = onLoop { nodes += Node(nodes.size).also(store::connect) }

    /** Replaces all gateways by others, which know nothing but the documents of the store. */
    fun replaceAll() = onLoop {
        val count = nodes.size
        nodes.clear()
        repeat(count) { nodes += Node(FIRST_REPLACEMENT + it).also(store::connect) }
    }

    fun <T> onLoop(action: () -> T): T {
        val result = CompletableFuture<T>()
        loop.execute { result.complete(action()) }
        return result.get()
    }

    override fun close() = loop.close()

    inner class Node(number: Int) : Peers {
        override val self = Registration(DaemonId("g$number"), "p", "o", "c", AvailabilityZone("z"), "r")
        override val live: PersistentList<Registration> get() = nodes.map { it.self }.toPersistentList()
        val mirror = DocumentMirror()
        private val log = DecisionLog(clock)
        private val link = PeerLink { to, message ->
            loop.execute { nodes.firstOrNull { it.self.daemon == to }?.exchange?.handle(self.daemon, message) }
        }
        private val ports =
            GatewayPorts(loop, log, GatewayMetrics(MetricRegistry()), Random(1), { 1 }, PeerCallbacks({ exchange }))
        val guard = PromptGuard(ports)
        val exchange: QuarantineExchange =
            QuarantineExchange(QuarantineExchangePorts(this, link, store, mirror, loop, log)) { guard }

        init {
            mirror.addListener(exchange::applyChange)
        }
    }

    /** A store whose changes reach all gateways at once, unless it is [down]. */
    inner class DocumentStore : Store {
        private val documents = HashMap<String, StoredValue>()
        private var revision = 0L

        @Volatile
        var down = false

        /** The keys of all documents. */
        val keys: Set<String> get() = onLoop { documents.keys.toSet() }

        fun connect(node: Node) {
            if (!down) documents.values.forEach { node.mirror.apply(changes(DocumentChange.Written(it))) }
        }

        /** Writes a document as another writer would. */
        fun write(key: String, value: String) = onLoop { put(key, value) }

        /** Removes all documents, as at the end of their leases. */
        fun lapse() = onLoop { documents.keys.toList().forEach(::remove) }

        private fun put(key: String, value: String): StoreRevision {
            val document = StoredValue(key, value, StoreRevision(++revision))
            documents[key] = document
            nodes.forEach { it.mirror.apply(changes(DocumentChange.Written(document))) }
            return document.revision
        }

        private fun remove(key: String): StoreRevision {
            documents.remove(key)
            val removed = DocumentChange.Removed(key, StoreRevision(++revision))
            nodes.forEach { it.mirror.apply(changes(removed)) }
            return removed.revision
        }

        private fun changes(change: DocumentChange) = DocumentChanges(persistentListOf(change), change.revision)

        private fun <T> unlessDown(action: () -> T): Either<StoreFailure, T> =
            if (down) StoreFailure.NotApplied("down").left() else action().right()

        private fun swap(key: String, expected: StoreRevision, change: () -> StoreRevision) = unlessDown {
            val current = documents[key]
            val matches = (current?.revision ?: StoreRevision.NONE) == expected
            if (matches) SwapOutcome.Swapped(change()) else SwapOutcome.Conflict(current)
        }

        override suspend fun compareAndSwap(key: String, expected: StoreRevision, value: String, lease: LeaseId?) =
            swap(key, expected) { put(key, value) }

        override suspend fun compareAndDelete(key: String, expected: StoreRevision) =
            swap(key, expected) { remove(key) }

        override suspend fun grantLease(timeToLive: Duration) = unlessDown { LeaseId(1) }

        override suspend fun revokeLease(lease: LeaseId) = unlessDown { }

        override suspend fun get(key: String) = unused()

        override suspend fun getIfNewer(key: String, revision: StoreRevision) = unused()

        override suspend fun range(prefix: String) = unused()

        override suspend fun renewLease(lease: LeaseId) = unused()

        override suspend fun awaitChange(prefix: String, after: StoreRevision, timeout: Duration) = unused()

        private fun unused(): Nothing = error("quarantines are not read by calls")
    }

    companion object {
        private const val FIRST_REPLACEMENT = 100
        val PART = SharedPart(ServiceName("pool"), PromptPart("bad"))
    }
}
