package boragering.adapters

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The messages to one peer or address, and the state of the links that take them. */
internal class PeerLinkState(ports: PeerLinkPorts) {
    val queue = SendQueue(ports.traffic)
    private val random = ports.random
    private val lock = ReentrantLock()
    private val links = mutableSetOf<AutoCloseable>()
    private var connecting = false
    private var consecutiveFailures = 0
    private var nextAttemptAt = Duration.ZERO

    /** Whether a link is open or a connection attempt is in progress. */
    val active: Boolean get() = lock.withLock { links.isNotEmpty() || connecting }

    /** Whether the caller has to connect now; it must call [connected] or [failed] afterwards. */
    fun tryStartConnecting(now: Duration): Boolean = lock.withLock {
        val shouldConnect = links.isEmpty() && !connecting && now >= nextAttemptAt
        if (shouldConnect) connecting = true
        shouldConnect
    }

    /** The attempt succeeded. */
    fun connectSucceeded() = lock.withLock { connecting = false }

    /** The attempt failed: unless the peer has connected, the queue is dropped, and the next attempt waits. */
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

    /** [link] was established; returns whether it is the first. */
    fun addLink(link: AutoCloseable): Boolean = lock.withLock {
        consecutiveFailures = 0
        nextAttemptAt = Duration.ZERO
        links += link
        links.size == 1
    }

    /** Closes all links. */
    fun closeLinks() = lock.withLock { links.toList() }.forEach { it.close() }

    /** [link] was closed; returns whether it was the last. */
    fun removeLink(link: AutoCloseable): Boolean {
        val last = lock.withLock {
            links -= link
            links.isEmpty()
        }
        queue.wake()
        return last
    }

    /** Moves the waiting messages to [other]. */
    fun moveQueueTo(other: PeerLinkState) {
        if (other !== this) queue.drain().forEach(other.queue::offer)
    }

    private companion object {
        val INITIAL_BACKOFF = 200.milliseconds
        val MAXIMUM_BACKOFF = 5.seconds
        const val MAXIMUM_DOUBLINGS = 5
    }
}
