package boragering.core.membership

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import boragering.core.AvailabilityZone
import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.LeaseId
import boragering.core.Store
import boragering.core.StoreFailure
import boragering.core.StoreRevision
import boragering.core.StoredValue
import boragering.core.SwapOutcome
import boragering.core.catalogue.Entry
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The virtual time of a test. */
internal class VirtualClock(private val scope: TestScope) : Clock {
    override fun wallMilliseconds() = scope.currentTime

    override fun monotonic(): Duration = scope.currentTime.milliseconds
}

internal fun registration(name: String, host: String = name) =
    Registration(DaemonId(name), "$host:1", "$host:2", "$host:3", AvailabilityZone("zone"), "region")

/** Delivers messages between daemons with a delay of 1 to 4 ms, drops some, and records all that were sent. */
internal class PeerNetwork(private val scope: CoroutineScope, private val loss: Double, private val random: Random) {
    data class Sent(val from: DaemonId, val to: DaemonId, val kind: PeerMessageKind)

    val handlers = HashMap<DaemonId, (DaemonId, PeerMessage) -> Unit>()
    val sent = mutableListOf<Sent>()
    var connected: (DaemonId, DaemonId) -> Boolean = { _, _ -> true }

    fun link(from: DaemonId) = PeerLink { to, message ->
        sent += Sent(from, to, message.kind)
        if (random.nextDouble() >= loss) {
            scope.launch {
                delay(random.nextLong(1, 5))
                if (connected(from, to)) handlers[to]?.invoke(from, message)
            }
        }
    }
}

/** An in-memory store that can be made unavailable. */
internal class MemoryStore(private val clock: Clock) : Store {
    private data class Entry(val value: StoredValue, val lease: LeaseId?)

    var available = true
    var calls = 0
    private val entries = sortedMapOf<String, Entry>()
    private val leases = HashMap<LeaseId, Duration>()
    private val timesToLive = HashMap<LeaseId, Duration>()
    private var revision = 0L
    private val down = StoreFailure.NotApplied("store is down")

    private fun <T> call(action: () -> T): Either<StoreFailure, T> {
        calls += 1
        entries.values.removeIf { it.lease != null && (leases[it.lease] ?: Duration.ZERO) <= clock.monotonic() }
        return if (available) action().right() else down.left()
    }

    override suspend fun get(key: String) = call { entries[key]?.value }

    override suspend fun getIfNewer(key: String, revision: StoreRevision) =
        call { entries[key]?.value?.takeIf { it.revision > revision } }

    override suspend fun range(prefix: String) =
        call { entries.values.map { it.value }.filter { it.key.startsWith(prefix) }.toPersistentList() }

    override suspend fun compareAndSwap(key: String, expected: StoreRevision, value: String, lease: LeaseId?) =
        call {
            val current = entries[key]?.value
            if ((current?.revision ?: StoreRevision.NONE) == expected) {
                val written = StoredValue(key, value, StoreRevision(++revision))
                entries[key] = Entry(written, lease)
                SwapOutcome.Swapped(written.revision)
            } else {
                SwapOutcome.Conflict(current)
            }
        }

    override suspend fun compareAndDelete(key: String, expected: StoreRevision) = call {
        entries.remove(key)
        SwapOutcome.Swapped(StoreRevision(++revision))
    }

    override suspend fun grantLease(timeToLive: Duration) =
        call {
            LeaseId(++revision).also {
                leases[it] = clock.monotonic() + timeToLive
                timesToLive[it] = timeToLive
            }
        }

    override suspend fun renewLease(lease: LeaseId) = call {
        val remaining = (leases[lease] ?: Duration.ZERO) - clock.monotonic()
        if (remaining > Duration.ZERO) leases[lease] = clock.monotonic() + timesToLive.getValue(lease)
        maxOf(remaining, Duration.ZERO)
    }

    override suspend fun revokeLease(lease: LeaseId) = call { leases.remove(lease).let { } }

    override suspend fun awaitChange(prefix: String, after: StoreRevision, timeout: Duration) =
        call<PersistentList<StoredValue>> { persistentListOf() }
}

/** One daemon's membership and dissemination; [seeds] are names of other daemons. */
internal class PeerNode(
    val self: Registration,
    private val network: PeerNetwork,
    store: Store,
    clock: Clock,
    seeds: List<String> = emptyList(),
    seed: Int = self.daemon.value.hashCode(),
) {
    val items = ItemReplica(clock)
    private val link = network.link(self.daemon)
    private val pauseDetector = PauseDetector(clock)
    private val seedLink = SeedLink { address, message -> link.send(DaemonId(address.substringBefore(':')), message) }
    val membership = Membership(
        self,
        items,
        MembershipPorts(store, link, seedLink, clock, { }, pauseDetector),
        seeds.map { registration(it).peerAddress },
        Random(seed),
    )
    private val dissemination = Dissemination(items, membership, link, clock, Random(seed + 1))
    private var job: Job? = null

    val live: List<String> get() = membership.live.map { it.daemon.value }

    fun start(scope: CoroutineScope) = apply {
        membership.onRegistrations(dissemination::markKnown)
        network.handlers[self.daemon] = { from, message ->
            membership.handle(from, message)
            dissemination.handle(from, message)
        }
        job = scope.launch {
            launch { membership.run() }
            launch { dissemination.run() }
        }
    }

    fun kill() {
        job?.cancel()
        network.handlers.remove(self.daemon)
    }
}
