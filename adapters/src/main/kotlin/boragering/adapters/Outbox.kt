package boragering.adapters

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The messages to one peer or address, and the state of the links that take them. */
internal class Outbox(ports: PeerLinkPorts) {
    val queue = SendQueue(ports.traffic)
    private val random = ports.random
    private val lock = ReentrantLock()
    private val links = mutableSetOf<AutoCloseable>()
    private var connecting = false
    private var failures = 0
    private var retryAt = Duration.ZERO

    /** Whether a link is open or a connection attempt is in progress. */
    val active: Boolean get() = lock.withLock { links.isNotEmpty() || connecting }

    /** Whether the caller has to connect now; it must call [connected] or [failed] afterwards. */
    fun claimConnect(now: Duration): Boolean = lock.withLock {
        val due = links.isEmpty() && !connecting && now >= retryAt
        if (due) connecting = true
        due
    }

    /** The attempt succeeded. */
    fun connected() = lock.withLock { connecting = false }

    /** The attempt failed: unless the peer has connected, the queue is dropped, and the next attempt waits. */
    fun failed(now: Duration) {
        val unreachable = lock.withLock {
            connecting = false
            failures += 1
            val doubled = FIRST_BACKOFF * (1 shl minOf(failures - 1, MAXIMUM_DOUBLINGS))
            retryAt = now + minOf(doubled, LAST_BACKOFF) * (1 - random.nextDouble() / 2)
            links.isEmpty()
        }
        if (unreachable) queue.clear()
    }

    /** [link] was established; returns whether it is the first. */
    fun opened(link: AutoCloseable): Boolean = lock.withLock {
        failures = 0
        retryAt = Duration.ZERO
        links += link
        links.size == 1
    }

    /** Closes all links. */
    fun closeLinks() = lock.withLock { links.toList() }.forEach { it.close() }

    /** [link] was closed; returns whether it was the last. */
    fun closed(link: AutoCloseable): Boolean {
        val last = lock.withLock {
            links -= link
            links.isEmpty()
        }
        queue.wake()
        return last
    }

    /** Moves the waiting messages to [other]. */
    fun moveTo(other: Outbox) {
        if (other !== this) queue.drain().forEach(other.queue::offer)
    }

    private companion object {
        val FIRST_BACKOFF = 200.milliseconds
        val LAST_BACKOFF = 5.seconds
        const val MAXIMUM_DOUBLINGS = 5
    }
}
