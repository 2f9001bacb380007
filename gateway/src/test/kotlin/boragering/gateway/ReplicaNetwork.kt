package boragering.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import boragering.adapters.MetricRegistry
import boragering.adapters.SystemClock
import boragering.core.AvailabilityZone
import boragering.core.DaemonId
import boragering.core.StoreFailure
import boragering.core.StoreRevision
import boragering.core.StoredValue
import boragering.core.membership.PeerLink
import boragering.core.membership.PeerMessage
import boragering.core.membership.Peers
import boragering.core.membership.Registration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** In-memory documents that many gateways replicate. */
internal class SharedDocuments {
    private val changes = ArrayList<DocumentChange>()
    private var revision = StoreRevision(1)
    private var oldest = StoreRevision.NONE

    /** When set, no call reports changes, but the revision that they have led to. */
    @Volatile
    var changesHidden = false

    /** Forgets all changes so far, so that only a read of all documents tells them. */
    @Synchronized
    fun dropHistory() {
        oldest = revision
    }

    @Synchronized
    fun write(key: String, value: String) {
        revision = revision.copy(value = revision.value + 1)
        changes += DocumentChange.Written(StoredValue(key, value, revision))
    }

    /** Restores the state of [writes] writes ago. */
    @Synchronized
    fun restore(writes: Int) {
        val era = revision.era + 1
        revision = StoreRevision(revision.value - writes, era)
        val kept = changes.filter { it.revision.value <= revision.value }.filterIsInstance<DocumentChange.Written>()
        changes.clear()
        changes += kept.map { change ->
            DocumentChange.Written(change.document.copy(revision = StoreRevision(change.revision.value, era)))
        }
    }

    /** The changes after [after]; `null` if that is a revision that was lost, or the changes after it are. */
    @Synchronized
    fun after(after: StoreRevision): DocumentChanges? {
        if (after.era != revision.era || after < oldest) return null
        val later = changes.filter { it.revision > after }
        val told = if (changesHidden) emptyList() else later
        return DocumentChanges(told.toPersistentList(), revision, complete = told.size == later.size)
    }

    /** All documents. */
    @Synchronized
    fun snapshot(): DocumentSnapshot {
        val documents = changes.filterIsInstance<DocumentChange.Written>().associateBy { it.key }
        return DocumentSnapshot(documents.values.map { it.document }.toPersistentList(), revision)
    }

    /** The feed of the documents for one gateway. */
    inner class Feed : DocumentFeed {
        /** Number of calls. */
        val calls = AtomicInteger()

        /** Number of reads of all documents. */
        val reads = AtomicInteger()

        /** When set, reads of all documents fail. */
        @Volatile
        var readsFail = false

        /** When set, every call fails. */
        @Volatile
        var unreachable = false

        /** When set at the time of a call, that call is not answered. */
        @Volatile
        var silent = false

        override suspend fun read(prefix: String): Either<StoreFailure, DocumentSnapshot> {
            calls.incrementAndGet()
            reads.incrementAndGet()
            failure(Duration.ZERO)?.let { return it.left() }
            return if (readsFail) StoreFailure.NotApplied("refused").left() else snapshot().right()
        }

        override suspend fun changes(
            prefix: String,
            after: StoreRevision,
            wait: Duration,
        ): Either<FeedFailure, DocumentChanges> {
            calls.incrementAndGet()
            failure(wait)?.let { return FeedFailure.Unavailable(it).left() }
            withTimeoutOrNull(wait) { while (after(after)?.changes?.isEmpty() == true) delay(POLL_INTERVAL) }
            return after(after)?.right() ?: FeedFailure.HistoryLost.left()
        }

        private suspend fun failure(wait: Duration): StoreFailure? = when {
            unreachable -> StoreFailure.NotApplied("cut")
            silent -> StoreFailure.Uncertain("silent").also { delay(wait + CALL_TIMEOUT) }
            else -> null
        }
    }

    private companion object {
        /** Time that a call without an answer takes, besides the time for which it waits for changes. */
        val CALL_TIMEOUT = 1.seconds
        val POLL_INTERVAL = 5.milliseconds
    }
}

/** Gateways in one process, each with its own event loop, that exchange messages without a network. */
internal class ReplicaNetwork(count: Int, documents: SharedDocuments) : AutoCloseable {
    private val registrations = (1..count).map { number ->
        Registration(
            daemon = DaemonId("g$number"),
            peerAddress = "p$number:1",
            operatorAddress = "o$number:1",
            callerAddress = "c$number:1",
            availabilityZone = AvailabilityZone("z${number % ZONES}"),
            region = "r",
        )
    }.toPersistentList()

    /** Gateways that neither send nor receive messages. */
    val isolated: MutableSet<DaemonId> = ConcurrentHashMap.newKeySet()
    val gateways = registrations.map { GatewayNode(it, documents.Feed()) }
    private val byId = gateways.associateBy { it.self.daemon }

    inner class GatewayNode(override val self: Registration, val feed: SharedDocuments.Feed) : Peers, PlannerStatus {
        override val live: PersistentList<Registration> get() = registrations
        override val planning = false
        override val mayPlan = false
        private val loop = GatewayLoop(SystemClock)
        private val ports =
            GatewayPorts(loop, DecisionLog(SystemClock), GatewayMetrics(MetricRegistry()), Random(1), { live.size })
        private val link = PeerLink { to, message -> deliver(self.daemon, to, message) }
        private val rules = DocumentRules { known, _ -> known.key.startsWith("heartbeat") }
        val replica = DocumentReplica(ports, ReplicaPorts(feed, this, link, SystemClock, rules), this)

        fun run(scope: CoroutineScope) = scope.launch(loop.dispatcher) { replica.run() }

        fun receive(from: DaemonId, message: PeerMessage) = loop.execute { replica.handle(from, message) }

        suspend fun value(key: String): String? = withContext(loop.dispatcher) { replica.mirror[key]?.value }

        suspend fun reachesStore(): Boolean = withContext(loop.dispatcher) { replica.follower.storeReachable }

        fun close() = loop.close()
    }

    private fun deliver(from: DaemonId, to: DaemonId, message: PeerMessage) {
        if (from in isolated || to in isolated) return
        byId.getValue(to).receive(from, message)
    }

    /** Runs all gateways until cancelled, with continuous heartbeats, which are irrelevant changes of a document. */
    suspend fun run(scope: CoroutineScope, documents: SharedDocuments) {
        gateways.forEach { it.run(scope) }
        scope.launch {
            while (true) {
                documents.write("heartbeat", "b")
                delay(HEARTBEAT_INTERVAL)
            }
        }
        awaitCancellation()
    }

    override fun close() = gateways.forEach { it.close() }

    private companion object {
        const val ZONES = 3
        val HEARTBEAT_INTERVAL = 20.milliseconds
    }
}
