package boragering.adapters

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The send queue for one peer or address, its open links, and the backoff of connection attempts. Thread-safe. */
internal class PeerLinkState(ports: PeerLinkPorts) {
    val queue = SendQueue(ports.traffic, ports.sendBudget)
    private val random = ports.random
    private val lock = ReentrantLock()
    private val links = mutableSetOf<PeerFrameWriter>()
    private var connecting = false
    private var consecutiveFailures = 0
    private var nextAttemptAt = Duration.ZERO

    /** Whether a link is open or a connection attempt is in progress. */
    val active: Boolean get() = lock.withLock { links.isNotEmpty() || connecting }

    /**
     * Returns `true` if the caller must connect now: there is no link, no attempt is in progress, and the backoff has
     * passed. The caller must then call [connectSucceeded] or [connectFailed].
     */
    fun tryStartConnecting(now: Duration): Boolean = lock.withLock {
        val shouldConnect = links.isEmpty() && !connecting && now >= nextAttemptAt
        if (shouldConnect) connecting = true
        shouldConnect
    }

    /** Records that the connection attempt succeeded. */
    fun connectSucceeded() = lock.withLock { connecting = false }

    /** Records a failed connection attempt and extends the backoff. Drops the queue unless the peer has connected. */
    fun connectFailed(now: Duration) {
        val unreachable = lock.withLock {
            connecting = false
            consecutiveFailures += 1
            val doubled = INITIAL_BACKOFF * (1 shl minOf(consecutiveFailures - 1, MAXIMUM_DOUBLINGS))
            nextAttemptAt = now + minOf(doubled, MAXIMUM_BACKOFF) * (1 - random.nextDouble() / 2)
            links.isEmpty()
        }
        if (unreachable) queue.clear()
    }

    /** Adds an established [link] and resets the backoff. Returns whether it is the only open link. */
    fun addLink(link: PeerFrameWriter): Boolean = lock.withLock {
        consecutiveFailures = 0
        nextAttemptAt = Duration.ZERO
        links += link
        links.size == 1
    }

    /** Makes one of the open links send what is queued, if possible one whose peer reads. */
    fun flush() {
        lock.withLock { links.firstOrNull { it.writable } ?: links.firstOrNull() }?.flush()
    }

    /** Closes all open links. */
    fun closeLinks() = lock.withLock { links.toList() }.forEach { it.close() }

    /** Removes [link], which was closed. Returns whether no link is left. */
    fun removeLink(link: PeerFrameWriter): Boolean {
        val last = lock.withLock {
            links -= link
            links.isEmpty()
        }
        flush()
        return last
    }

    /** Moves the queued messages to the queue of [other]. */
    fun moveQueueTo(other: PeerLinkState) {
        if (other !== this) queue.drain().forEach(other.queue::offer)
    }

    private companion object {
        val INITIAL_BACKOFF = 200.milliseconds
        val MAXIMUM_BACKOFF = 5.seconds
        const val MAXIMUM_DOUBLINGS = 5
    }
}
