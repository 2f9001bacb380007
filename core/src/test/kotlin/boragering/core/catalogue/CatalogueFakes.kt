package boragering.core.catalogue

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
import boragering.core.membership.Item
import boragering.core.membership.Items
import boragering.core.membership.Peers
import boragering.core.membership.Registration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The fault to inject into one compare-and-swap. */
internal enum class SwapFault { RESPONSE_LOST, REQUEST_LOST, APPLIED_LATE, REFUSED }

/** An in-memory store whose compare-and-swap calls fail as listed in [faults]. */
internal class ScriptedStore : Store {
    val values = sortedMapOf<String, StoredValue>()
    val faults = ArrayDeque<SwapFault?>()
    val reads = ArrayList<String>()
    var beforeSwap: suspend (String) -> Unit = {}
    var afterSwap: () -> Unit = {}
    var down = false
    var watches = 0
    private var revision = 0L
    private var delayedWrite: () -> Unit = {}

    override suspend fun get(key: String): Either<StoreFailure, StoredValue?> {
        reads += key
        return if (down) DOWN.left() else values[key].right()
    }

    override suspend fun getIfNewer(key: String, revision: StoreRevision) =
        get(key).map { found -> found?.takeIf { it.revision > revision } }

    override suspend fun range(prefix: String): Either<StoreFailure, PersistentList<StoredValue>> =
        values.values.filter { it.key.startsWith(prefix) }.toPersistentList().right()

    override suspend fun compareAndSwap(
        key: String,
        expected: StoreRevision,
        value: String,
        lease: LeaseId?,
    ): Either<StoreFailure, SwapOutcome> {
        beforeSwap(key)
        delayedWrite()
        val fault = if (down) SwapFault.REFUSED else faults.removeFirstOrNull()
        return when (fault) {
            null -> swap(key, expected, value).right()
            SwapFault.REFUSED -> DOWN.left()
            SwapFault.REQUEST_LOST -> LOST.left()
            SwapFault.APPLIED_LATE -> LOST.left().also { delayedWrite = { swap(key, expected, value) } }
            SwapFault.RESPONSE_LOST -> LOST.left().also { swap(key, expected, value) }
        }.also { afterSwap() }
    }

    override suspend fun compareAndDelete(key: String, expected: StoreRevision): Either<StoreFailure, SwapOutcome> {
        values.remove(key)
        return SwapOutcome.Swapped(expected).right()
    }

    override suspend fun grantLease(timeToLive: Duration) = LeaseId(1).right()

    override suspend fun renewLease(lease: LeaseId) = Duration.ZERO.right()

    override suspend fun revokeLease(lease: LeaseId) = Unit.right()

    override suspend fun awaitChange(
        prefix: String,
        after: StoreRevision,
        timeout: Duration,
    ): Either<StoreFailure, PersistentList<StoredValue>> {
        watches++
        return withTimeoutOrNull(timeout) {
            while (values.values.none { it.key.startsWith(prefix) && it.revision > after }) delay(10.milliseconds)
            values.values.filter { it.key.startsWith(prefix) && it.revision > after }.toPersistentList()
        }.orEmpty().toPersistentList().right()
    }

    fun swap(key: String, expected: StoreRevision, value: String): SwapOutcome {
        val current = values[key]
        return if ((current?.revision ?: StoreRevision.NONE) == expected) {
            revision++
            values[key] = StoredValue(key, value, StoreRevision(revision))
            SwapOutcome.Swapped(StoreRevision(revision))
        } else {
            SwapOutcome.Conflict(current)
        }
    }

    private companion object {
        val DOWN = StoreFailure.NotApplied("the store is down")
        val LOST = StoreFailure.Uncertain("the response was lost")
    }
}

/** In-memory items that are not sent to any peer. */
internal class FakeItems : Items {
    val known = sortedMapOf<String, Item>()
    private val listeners = ArrayList<Pair<String, (Item) -> Unit>>()

    override fun get(key: String): Item? = known[key]

    override fun all(prefix: String) = known.values.filter { it.key.startsWith(prefix) }.toPersistentList()

    override fun accept(item: Item): Boolean {
        val newer = item.version > (known[item.key]?.version ?: -1)
        if (newer) known[item.key] = item
        if (newer) listeners.filter { item.key.startsWith(it.first) }.forEach { it.second(item) }
        return newer
    }

    override fun listen(prefix: String, listener: (Item) -> Unit) {
        listeners += prefix to listener
        all(prefix).forEach(listener)
    }
}

/** Clocks whose time is set by the test. */
internal class FakeClock(var wall: Long = 0, var now: Duration = Duration.ZERO) : Clock {
    override fun wallMilliseconds() = wall

    override fun monotonic() = now
}

/** Live daemons with the given names; the first one is this daemon. */
internal class FakePeers(vararg names: String) : Peers {
    override val self = registration(names.first())
    override val live = names.sorted().map(::registration).toPersistentList()

    private fun registration(name: String) =
        Registration(DaemonId(name), "$name:1", "$name:2", "$name:3", AvailabilityZone("a"), "r")
}

/** Builds JSON documents as operators submit them. */
internal object Documents {
    fun service(name: String, owner: String = "team", queueTime: String = "2s") = """
        {"name": "$name", "owner": "$owner", "kind": "service", "pool": "$name",
         "class": {"urgency": "normal", "length": "short", "repeatable": false},
         "limits": {"concurrency": 32, "queueLength": 64, "queueTime": "$queueTime", "deadline": "10s",
                    "requestsPerSecond": 20},
         "routes": [{"method": "POST", "path": "/orders", "repeatable": false}]}"""

    fun model(name: String, pool: String = "gpu", limits: String = "\"groupSize\": 4, \"replicas\": 2,") = """
        {"name": "$name", "owner": "team", "kind": "model", "pool": "$pool",
         "model": "m", "modelVersion": "3", "enforcesFencing": true,
         "class": {"urgency": "urgent", "length": "mixed", "repeatable": true},
         "limits": {$limits "concurrency": 64, "queueLength": 256, "queueTime": "2s",
                    "deadline": "60s", "outputTokens": 2048, "requestsPerSecond": 50}}"""

    fun of(vararg entries: String) = """{"organisations": [], "entries": [${entries.joinToString()}]}"""

    fun request(base: Long, token: String, vararg entries: String) = ApplyRequest(token, "ann", base, of(*entries))
}
