package boragering.core.membership

import boragering.core.Clock
import boragering.core.DaemonId
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The requests for items that have not been answered yet. */
internal class ItemRequests(
    private val items: ItemReplica,
    private val link: PeerLink,
    private val clock: Clock,
) {
    private val lock = ReentrantLock()
    private val requests = HashMap<String, PendingRequest>()

    /**
     * Requests from [from] the items in [versions] that are newer than the known ones. If an item was already requested
     * from another peer, [from] is only recorded as an alternative for [retry].
     */
    fun request(from: DaemonId, versions: Map<String, Long>) {
        val missing = versions.filter { (key, version) -> isMissing(key, version) }
        val due = lock.withLock {
            missing.filter { (key, version) ->
                val pending = requests[key]?.takeIf { it.version >= version }
                pending?.addAlternative(from) ?: requests.put(key, PendingRequest(version, clock.monotonic(), from))
                pending == null
            }
        }
        sendRequest(from, due.keys)
    }

    /** Requests each item that did not arrive in time from the next peer that has announced its version. */
    fun retry() {
        val now = clock.monotonic()
        val due = lock.withLock {
            // Many concurrent requests, as after startup, take longer to answer; early retries would add to the load.
            val limit = REQUEST_TIMEOUT * (1 + requests.size / REQUESTS_PER_TIMEOUT)
            val timedOut = requests.filter { (_, request) -> now - request.sentAt >= limit }
            requests -= timedOut.keys
            val next = timedOut.filter { (key, request) ->
                request.attempt < MAXIMUM_ATTEMPTS && isMissing(key, request.version)
            }
            next.forEach { (key, request) -> requests[key] = request.next(now) }
            next.keys.groupBy { requests.getValue(it).requestedFrom }
        }
        due.forEach { (peer, keys) -> sendRequest(peer, keys) }
    }

    /** Whether any request is unanswered. */
    val hasPending: Boolean get() = lock.withLock { requests.isNotEmpty() }

    private fun isMissing(key: String, version: Long): Boolean = version > (items.get(key)?.version ?: Long.MIN_VALUE)

    private fun sendRequest(peer: DaemonId, keys: Collection<String>) =
        keys.chunked(KEYS_PER_MESSAGE).forEach { link.send(peer, PeerMessage.ItemRequest(it)) }

    /** Removes the pending request for [key] after the item has arrived. */
    fun markReceived(key: String) {
        lock.withLock { requests.remove(key) }
    }

    private class PendingRequest(
        val version: Long,
        val sentAt: Duration,
        val requestedFrom: DaemonId,
        val attempt: Int = 1,
    ) {
        private val alternatives = LinkedHashSet<DaemonId>()

        fun addAlternative(peer: DaemonId) {
            if (peer != requestedFrom && alternatives.size < MAXIMUM_ALTERNATIVES) alternatives += peer
        }

        /** Creates the next attempt, which asks the peer that has gone longest without a request for this item. */
        fun next(now: Duration): PendingRequest {
            val order = alternatives + requestedFrom
            val next = PendingRequest(version, now, order.first(), attempt + 1)
            order.drop(1).forEach(next::addAlternative)
            return next
        }
    }

    private companion object {
        /** Time before an item is requested from another peer; several have usually announced it by then. */
        val REQUEST_TIMEOUT = 400.milliseconds
        const val REQUESTS_PER_TIMEOUT = 50
        const val MAXIMUM_ALTERNATIVES = 3

        /** Number of attempts after which the item is left to the anti-entropy comparison. */
        const val MAXIMUM_ATTEMPTS = 16
    }
}
