package boragering.standins

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.update
import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

/**
 * Faults of the key-value service. With [outage] every call ends with a closed connection and nothing is applied.
 * [slowMilliseconds] delays each call before it is applied. Responses are lost, after the write was applied, for the
 * next [loseResponses] writes, or for all writes when it is -1; with a non-empty [losePrefix] only writes to keys that
 * start with it count.
 */
@Serializable
data class StoreFaults(
    val outage: Boolean = false,
    val slowMilliseconds: Long = 0,
    val loseResponses: Int = 0,
    val losePrefix: String = "",
)

/** What the key-value service has counted since it started; [calls] by path below `/v3/`, refused ones included. */
@Serializable
data class StoreCounters(
    val calls: Map<String, Int>,
    val waitingWatches: Int,
    val refused: Int,
    val lostResponses: Int,
)

/** Faults and counters of the key-value service. */
internal class StoreControl {
    private val current = MutableStateFlow(StoreFaults())
    private val calls = ConcurrentHashMap<String, AtomicInteger>()
    private val refused = AtomicInteger()
    private val lostResponses = AtomicInteger()

    /** Number of open watches. */
    val waitingWatches = AtomicInteger()

    /** The faults in effect. */
    val faults: StateFlow<StoreFaults> = current.asStateFlow()

    /** Replaces all faults. */
    fun set(faults: StoreFaults) {
        current.value = faults
    }

    /** What has been counted so far. */
    fun counters() =
        StoreCounters(calls.mapValues { it.value.get() }, waitingWatches.get(), refused.get(), lostResponses.get())

    /** Counts a call, delays it, and aborts it in an outage. */
    suspend fun beforeCall(exchange: Exchange, kind: String) {
        calls.computeIfAbsent(kind) { AtomicInteger() }.incrementAndGet()
        delay(faults.value.slowMilliseconds.milliseconds)
        if (faults.value.outage) {
            refused.incrementAndGet()
            exchange.abort("outage")
        }
    }

    /** Aborts the exchange of a write that has been applied when its response is to be lost. */
    fun afterWrite(exchange: Exchange, request: TransactionRequest) {
        val keys = (request.success + request.failure).mapNotNull { it.put?.key ?: it.delete?.key }.map(::decodeText)
        var lost = false
        current.update { now ->
            lost = now.loseResponses != 0 && keys.any { it.startsWith(now.losePrefix) }
            if (lost && now.loseResponses > 0) now.copy(loseResponses = now.loseResponses - 1) else now
        }
        if (lost) {
            lostResponses.incrementAndGet()
            exchange.abort("response lost")
        }
    }
}
