package boragering.adapters

import boragering.core.membership.PeerMessageKind
import boragering.core.membership.PeerTrafficMetrics
import kotlinx.coroutines.channels.Channel
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** An encoded message on its way to a peer. */
internal class OutgoingFrame(val kind: PeerMessageKind, val body: ByteArray)

/**
 * The bounded queue of messages to one peer. Messages whose delay changes what the recipient concludes go first. When
 * the queue is full, the oldest message of the others is dropped, since the next comparison of items makes up for it.
 */
internal class SendQueue(private val traffic: PeerTrafficMetrics) {
    private val lock = ReentrantLock()
    private val urgent = ArrayDeque<OutgoingFrame>()
    private val bulk = ArrayDeque<OutgoingFrame>()
    private var bytes = 0
    private val frameAvailable = Channel<Unit>(Channel.CONFLATED)

    /** Adds [frame], and drops older ones if there is no room. */
    fun offer(frame: OutgoingFrame) {
        val dropped = lock.withLock {
            (if (frame.kind in URGENT_KINDS) urgent else bulk) += frame
            bytes += frame.body.size
            generateSequence { if (exceedsLimits()) removeOldest() else null }.toList()
        }
        dropped.forEach { traffic.dropped(it.kind) }
        wake()
    }

    /** Waits for the next frame and removes it. */
    suspend fun take(): OutgoingFrame {
        var next = poll()
        while (next == null) {
            frameAvailable.receive()
            next = poll()
        }
        return next
    }

    /** Makes another link to the peer continue when the one that was to take the next frame was closed. */
    fun wake() {
        frameAvailable.trySend(Unit)
    }

    /** Drops all frames, for example when the peer cannot be reached. */
    fun clear() = drain().forEach { traffic.dropped(it.kind) }

    /** Removes all frames. */
    fun drain(): List<OutgoingFrame> = lock.withLock {
        val all = urgent + bulk
        urgent.clear()
        bulk.clear()
        bytes = 0
        all
    }

    private fun poll(): OutgoingFrame? {
        val (next, more) = lock.withLock {
            val next = urgent.removeFirstOrNull() ?: bulk.removeFirstOrNull()
            bytes -= next?.body?.size ?: 0
            next to (urgent.isNotEmpty() || bulk.isNotEmpty())
        }
        // Two links to the same peer can take from one queue; the other one may be waiting.
        if (more) wake()
        return next
    }

    private fun exceedsLimits() = bytes > MAXIMUM_BYTES || urgent.size + bulk.size > MAXIMUM_FRAMES

    private fun removeOldest(): OutgoingFrame {
        val oldest = bulk.removeFirstOrNull() ?: urgent.removeFirst()
        bytes -= oldest.body.size
        return oldest
    }

    private companion object {
        /** Holds the largest answer to a request for items, of 4 MiB, twice. */
        const val MAXIMUM_BYTES = 8 * 1024 * 1024
        const val MAXIMUM_FRAMES = 4096
        val URGENT_KINDS = setOf(
            PeerMessageKind.PING,
            PeerMessageKind.PING_ANSWER,
            PeerMessageKind.PING_REQUEST,
            PeerMessageKind.ECHO,
            PeerMessageKind.GROUP_SUMMARIES,
            PeerMessageKind.CHANGES,
        )
    }
}
