package boragering.core

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/**
 * Numbers echoes to peers and remembers when each was sent by this daemon's monotonic clock, so that the age of an
 * answer that names an echo has an upper bound that includes the transport. Safe for use by several threads.
 *
 * Numbers grow over all peers and are never used again, so that an echo of a former link is not taken for another.
 */
class EchoClock(private val clock: Clock) {
    private val lock = ReentrantLock()
    private val sent = HashMap<DaemonId, ArrayDeque<SentEcho>>()
    private val received = HashMap<DaemonId, Long>()
    private var lastNumber = 0L

    /** The next echo to [peer], which must be sent after this call. */
    fun next(peer: DaemonId): PeerMessage.Echo = lock.withLock {
        lastNumber += 1
        val echoes = sent.getOrPut(peer) { ArrayDeque() }
        echoes += SentEcho(lastNumber, clock.monotonic())
        if (echoes.size > REMEMBERED) echoes.removeFirst()
        PeerMessage.Echo(lastNumber)
    }

    /** Notes an echo from [peer]. */
    fun receive(peer: DaemonId, echo: PeerMessage.Echo) = lock.withLock {
        received[peer] = maxOf(echo.number, received[peer] ?: echo.number)
    }

    /** The highest echo number received from [peer], `null` without one. */
    fun highestReceived(peer: DaemonId): Long? = lock.withLock { received[peer] }

    /** When this daemon sent the echo [number] to [peer]; `null` when it did not or that is too long ago to matter. */
    fun sentAt(peer: DaemonId, number: Long): Duration? =
        lock.withLock { sent[peer]?.firstOrNull { it.number == number }?.at }

    /** Drops what is known of [peer], for example after its last link was closed. */
    fun forget(peer: DaemonId) {
        lock.withLock {
            sent.remove(peer)
            received.remove(peer)
        }
    }

    private data class SentEcho(val number: Long, val at: Duration)

    private companion object {
        /** Echoes remembered for each peer: 16 s at one every 500 ms, far above the limit for evidence of 2.5 s. */
        const val REMEMBERED = 32
    }
}
