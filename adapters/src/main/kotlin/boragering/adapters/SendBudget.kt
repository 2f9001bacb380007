package boragering.adapters

import boragering.core.Clock
import org.apache.logging.log4j.LogManager
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits the bytes of all messages that wait to be sent to peers, queued or passed to a socket, to [maximumBytes]. Many
 * peers that do not read would otherwise exhaust the memory of this process together. Thread-safe.
 */
internal class SendBudget(private val clock: Clock, private val maximumBytes: Long = DEFAULT_MAXIMUM_BYTES) {
    private val used = AtomicLong()
    private val logAgainAt = AtomicLong(Long.MIN_VALUE)

    /** Bytes of the messages that wait. */
    val bytes: Long get() = used.get()

    /** Reserves [size] bytes, which [release] must return; returns whether there was room. */
    fun tryReserve(size: Int): Boolean {
        val limit = if (size <= SHORT_MESSAGE_BYTES) maximumBytes else maximumBytes - maximumBytes / SHORT_MESSAGE_SHARE
        val previous = used.getAndUpdate { if (it + size <= limit) it + size else it }
        return previous + size <= limit
    }

    /** Returns [size] bytes of a message that was written or dropped. */
    fun release(size: Int) {
        used.addAndGet(-size.toLong())
    }

    /** Logs, once a second at most, that a message was dropped for want of room. */
    fun logDrop() {
        val now = clock.monotonic()
        val next = logAgainAt.get()
        val due = now.inWholeNanoseconds >= next
        if (!due || !logAgainAt.compareAndSet(next, (now + LOG_INTERVAL).inWholeNanoseconds)) return
        log.warn("messages to peers are dropped: {} of {} bytes wait to be sent", bytes, maximumBytes)
    }

    private companion object {
        val log = LogManager.getLogger(SendBudget::class.java)

        /** Share of the heap. Bodies and documents have more than half of it. */
        const val HEAP_SHARE = 8
        val DEFAULT_MAXIMUM_BYTES = Runtime.getRuntime().maxMemory() / HEAP_SHARE

        /** Pings and the like, which have this share to themselves: without them, peers count as lost. */
        const val SHORT_MESSAGE_BYTES = 1_024
        const val SHORT_MESSAGE_SHARE = 8
        val LOG_INTERVAL: Duration = 1.seconds
    }
}
