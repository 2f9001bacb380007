package boragering.core

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The fault to inject into one call to the store. */
enum class StoreFault { DOWN, SLOW, LOST_APPLIED, LOST_NOT_APPLIED, DELAYED }

/** An in-memory store with fault injection. [faults] maps the number of a call, starting at 1, to its fault. */
class FakeStore(private val scope: CoroutineScope) : Store {
    val values = HashMap<String, StoredValue>()
    var faults: Map<Int, StoreFault> = emptyMap()
    var down = false
    var latency = 2.milliseconds

    /** Time until a delayed write takes effect; usually the writer has read the key back by then. */
    var delayedWriteLatency = 40.milliseconds
    var calls = 0
        private set
    var writes = 0
        private set
    private var revision = 0L

    override suspend fun get(key: String): Either<StoreFailure, StoredValue?> {
        val fault = nextFault()
        val answered = fault == null || fault == StoreFault.SLOW
        return if (answered) values[key].right() else StoreFailure.NotApplied("fault $fault").left()
    }

    override suspend fun getIfNewer(key: String, revision: StoreRevision): Either<StoreFailure, StoredValue?> =
        get(key).map { value -> value?.takeIf { it.revision > revision } }

    override suspend fun compareAndSwap(
        key: String,
        expected: StoreRevision,
        value: String,
        lease: LeaseId?,
    ): Either<StoreFailure, SwapOutcome> = when (nextFault()) {
        null, StoreFault.SLOW -> swap(key, expected, value).right()
        StoreFault.DOWN -> StoreFailure.NotApplied("down").left()
        StoreFault.LOST_NOT_APPLIED -> StoreFailure.Uncertain("lost").left()
        StoreFault.LOST_APPLIED -> {
            swap(key, expected, value)
            StoreFailure.Uncertain("lost").left()
        }
        StoreFault.DELAYED -> {
            scope.launch {
                delay(delayedWriteLatency)
                swap(key, expected, value)
            }
            StoreFailure.Uncertain("lost").left()
        }
    }

    private suspend fun nextFault(): StoreFault? {
        val number = ++calls
        val fault = if (down) StoreFault.DOWN else faults[number]
        delay(if (fault == StoreFault.SLOW) SLOW_LATENCY else latency)
        return fault
    }

    private fun swap(key: String, expected: StoreRevision, value: String): SwapOutcome {
        val current = values[key]
        if ((current?.revision ?: StoreRevision.NONE) != expected) return SwapOutcome.Conflict(current)
        writes++
        return SwapOutcome.Swapped(StoreRevision(++revision)).also {
            values[key] = StoredValue(key, value, it.revision)
        }
    }

    override suspend fun range(prefix: String) = unused()

    override suspend fun compareAndDelete(key: String, expected: StoreRevision) = unused()

    override suspend fun grantLease(timeToLive: Duration) = unused()

    override suspend fun renewLease(lease: LeaseId) = unused()

    override suspend fun revokeLease(lease: LeaseId) = unused()

    override suspend fun awaitChange(prefix: String, after: StoreRevision, timeout: Duration) = unused()

    private fun unused(): Nothing = error("claims do not call this function")

    private companion object {
        /** Exceeds the time that callers wait for a claim. */
        val SLOW_LATENCY = 3.seconds
    }
}
