package boragering.standins

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.serialization.Serializable
import java.util.TreeMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** One write for a test's history check; [value] is `null` for a deletion. */
@Serializable
data class RecordedWrite(val key: String, val revision: Long, val value: String?, val wallMilliseconds: Long)

/** The content of the key-value service: keys, history and leases. All functions are atomic. */
internal class KeyValueState(
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val wallMilliseconds: () -> Long = System::currentTimeMillis,
) {
    private class Lease(val id: Long, val timeToLive: Duration, var deadline: ComparableTimeMark)

    private val lock = Any()
    private val keys = TreeMap<String, KeyValue>()
    private val leases = mutableMapOf<Long, Lease>()
    private val history = mutableListOf<WatchEvent>()
    private val writes = mutableListOf<RecordedWrite>()
    private val current = MutableStateFlow(FIRST_REVISION)
    private var lastLease = 0L

    /** The revision of the last write. */
    val revision: StateFlow<Long> = current.asStateFlow()

    /** Every write in order. */
    fun record(): List<RecordedWrite> = atomic { writes.toList() }

    /** The changes within [range] at and after [from], in order. */
    fun changes(range: KeyRange, from: Long): List<WatchEvent> = atomic {
        history.asReversed().takeWhile { it.kv.modRevision >= from }.asReversed()
            .filter { decodeKey(it.kv.key) in range }
    }

    /** Runs one branch of [request], as its comparisons decide. */
    fun transact(request: TransactionRequest): TransactionResponse = atomic {
        val succeeded = request.compare.all { it.holds(keys[decodeKey(it.key)]) }
        val operations = if (succeeded) request.success else request.failure
        val lease = operations.mapNotNull { it.put?.lease }.firstOrNull { it != 0L && it !in leases }
        require(lease == null) { "etcdserver: requested lease not found" }
        val writing = Writing(current.value + 1)
        val responses = operations.map { writing.run(it) }
        if (writing.wrote) current.value = writing.revision
        TransactionResponse(header(), succeeded, responses)
    }

    /** Grants a lease of [seconds], under [id] unless it is 0. */
    fun grant(id: Long, seconds: Long): LeaseResponse = atomic {
        require(seconds > 0 && id !in leases) { "lease $id exists or its time to live, $seconds s, is not positive" }
        val lease = Lease(if (id == 0L) ++lastLease else id, seconds.seconds, time.markNow() + seconds.seconds)
        leases[lease.id] = lease
        LeaseResponse(header(), lease.id, seconds)
    }

    /** Renews a lease; the time to live is 0 when it has ended. */
    fun keepAlive(id: Long): LeaseResponse = atomic {
        val lease = leases[id]
        lease?.run { deadline = time.markNow() + timeToLive }
        LeaseResponse(header(), id, lease?.timeToLive?.inWholeSeconds ?: 0)
    }

    /** Ends a lease and deletes its keys; `null` when there is no such lease. */
    fun revoke(id: Long): LeaseResponse? = atomic { if (end(id)) LeaseResponse(header()) else null }

    /** Ends the leases whose time has run out. Every other function does this first. */
    fun expireLeases() = atomic { }

    private fun <T> atomic(action: () -> T): T = synchronized(lock) {
        leases.values.filter { it.deadline.hasPassedNow() }.forEach { end(it.id) }
        action()
    }

    private fun end(id: Long): Boolean {
        if (leases.remove(id) == null) return false
        val writing = Writing(current.value + 1)
        keys.values.filter { it.lease == id }.forEach { writing.delete(decodeKey(it.key)) }
        if (writing.wrote) current.value = writing.revision
        return true
    }

    private fun header() = ResponseHeader(current.value)

    /** The operations of one transaction; all its writes have the same revision. */
    private inner class Writing(val revision: Long) {
        var wrote = false
            private set

        fun run(operation: RequestOperation): ResponseOperation {
            val header = ResponseHeader(revision)
            return when {
                operation.put != null -> ResponseOperation(put = PutResponse(header).also { put(operation.put) })
                operation.delete != null -> {
                    val range = KeyRange.decode(operation.delete.key, operation.delete.rangeEnd)
                    val deleted = keys.keys.filter { it in range }.onEach(::delete).size
                    ResponseOperation(delete = DeleteResponse(header, deleted.toLong()))
                }
                operation.range != null -> ResponseOperation(range = read(operation.range))
                else -> throw IllegalArgumentException("an operation of the transaction is empty")
            }
        }

        fun delete(key: String) {
            keys.remove(key)
            append(WatchEvent("DELETE", KeyValue(encodeKey(key), modRevision = revision)), null)
        }

        private fun put(request: PutRequest) {
            val key = decodeKey(request.key)
            val old = keys[key]
            val created = old?.createRevision ?: revision
            val version = (old?.version ?: 0) + 1
            val entry = KeyValue(encodeKey(key), request.value, created, revision, version, request.lease)
            keys[key] = entry
            append(WatchEvent(kv = entry), decodeText(request.value))
        }

        private fun append(event: WatchEvent, value: String?) {
            wrote = true
            history += event
            writes += RecordedWrite(decodeText(event.kv.key), revision, value, wallMilliseconds())
        }

        private fun read(request: RangeRequest): RangeResponse {
            val range = KeyRange.decode(request.key, request.rangeEnd)
            val found = keys.tailMap(range.start).values.asSequence()
                .takeWhile { range.end.isEmpty() || range.end == "\u0000" || decodeKey(it.key) < range.end }
                .takeWhile { range.end.isNotEmpty() || decodeKey(it.key) == range.start }
                .filter { it.modRevision >= request.minModRevision }
                .toList()
            val limited = if (request.limit > 0) found.take(request.limit.toInt()) else found
            return RangeResponse(header(), limited, limited.size < found.size, found.size.toLong())
        }
    }

    private companion object {
        /** Revision of an empty etcd. */
        const val FIRST_REVISION = 1L
    }
}

private fun Comparison.holds(entry: KeyValue?): Boolean {
    require(result == "EQUAL") { "comparison $result is not supported" }
    return when (target) {
        "MOD" -> (entry?.modRevision ?: 0) == modRevision
        "CREATE" -> (entry?.createRevision ?: 0) == createRevision
        "VERSION" -> (entry?.version ?: 0) == version
        else -> throw IllegalArgumentException("comparison target $target is not supported")
    }
}
