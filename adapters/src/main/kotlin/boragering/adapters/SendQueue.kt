package boragering.adapters

import boragering.core.membership.PeerMessageKind
import boragering.core.membership.PeerTrafficMetrics
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** The encoded frame body of a message of [kind] that waits to be sent to a peer. */
internal class OutgoingFrame(val kind: PeerMessageKind, val body: ByteArray)

/**
 * A bounded queue of messages to one peer. Urgent messages, whose delay would change what the recipient concludes, are
 * sent first. When the queue is full, the oldest non-urgent message is dropped, because the next comparison of items
 * restores its content; if there is none, the oldest urgent message is dropped. Messages that find no room in [budget],
 * which all peers share, displace the oldest of their own queue, or are dropped themselves.
 */
internal class SendQueue(private val traffic: PeerTrafficMetrics, private val budget: SendBudget) {
    private val lock = ReentrantLock()
    private val urgent = ArrayDeque<OutgoingFrame>()
    private val bulk = ArrayDeque<OutgoingFrame>()
    private var bytes = 0

    /** Adds [frame], and drops frames until the queue is within its limits. */
    fun offer(frame: OutgoingFrame) {
        val displaced = ArrayList<OutgoingFrame>()
        val accepted = lock.withLock {
            val reserved = reserve(frame, displaced)
            if (reserved) add(frame, displaced)
            reserved
        }
        displaced.forEach { traffic.dropped(it.kind) }
        if (!accepted) traffic.dropped(frame.kind)
    }

    /**
     * Removes and returns the next frame; `null` if there is none. Its bytes remain reserved until it has been written.
     */
    fun poll(): OutgoingFrame? = lock.withLock {
        val next = urgent.removeFirstOrNull() ?: bulk.removeFirstOrNull()
        bytes -= next?.body?.size ?: 0
        next
    }

    /** Returns the bytes of [frame], which was written or will not be. */
    fun release(frame: OutgoingFrame) = budget.release(frame.body.size)

    /** Drops all frames, for example when the peer is unreachable, and counts them as dropped. */
    fun clear() = drain().forEach { traffic.dropped(it.kind) }

    /** Removes and returns all frames, urgent ones first, without counting them as dropped. */
    fun drain(): List<OutgoingFrame> = lock.withLock {
        val all = urgent + bulk
        urgent.clear()
        bulk.clear()
        bytes = 0
        all.forEach(::release)
        all
    }

    /** Reserves the bytes of [frame], if need be those of older frames, which are added to [displaced]. */
    private fun reserve(frame: OutgoingFrame, displaced: MutableList<OutgoingFrame>): Boolean {
        while (!budget.tryReserve(frame.body.size)) {
            budget.logDrop()
            displaced += remove(bulk) ?: return false
        }
        return true
    }

    private fun add(frame: OutgoingFrame, displaced: MutableList<OutgoingFrame>) {
        (if (frame.kind in URGENT_KINDS) urgent else bulk) += frame
        bytes += frame.body.size
        while (exceedsLimits()) displaced += remove(bulk) ?: remove(urgent) ?: break
    }

    private fun exceedsLimits() = bytes > MAXIMUM_BYTES || urgent.size + bulk.size > MAXIMUM_FRAMES

    private fun remove(frames: ArrayDeque<OutgoingFrame>): OutgoingFrame? {
        val oldest = frames.removeFirstOrNull() ?: return null
        bytes -= oldest.body.size
        release(oldest)
        return oldest
    }

    private companion object {
        /** Room for two of the largest responses to an item request, which are 4 MiB each. */
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
