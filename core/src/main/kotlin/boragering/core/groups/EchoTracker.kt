package boragering.core.groups

import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.membership.PeerMessage
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/**
 * Numbers the echoes that this daemon sends, and keeps the highest echo number received from each peer. A peer's
 * message that names one of this daemon's echoes was built after that echo had been sent. The time since then, by this
 * daemon's own clock, therefore bounds the message's time in transit. Safe for use by several threads.
 */
class EchoTracker(private val clock: Clock) {
    private val sent = ArrayDeque<SentEcho>()
    private val received = ConcurrentHashMap<DaemonId, Long>()
    private var number = 0L

    /** Creates the next echo. The caller must send it at once, and may send it to several peers. */
    fun next(): PeerMessage.Echo = synchronized(sent) {
        number++
        sent.addLast(SentEcho(number, clock.monotonic()))
        if (sent.size > REMEMBERED) sent.removeFirst()
        PeerMessage.Echo(number)
    }

    /** Returns when this daemon sent echo [number], `null` if it never did or no longer remembers it. */
    fun sentAt(number: Long): Duration? = synchronized(sent) {
        val index = number - (sent.firstOrNull()?.number ?: return null)
        if (index in sent.indices) sent[index.toInt()].at else null
    }

    /** Records an echo received from [peer]. */
    fun received(peer: DaemonId, echo: PeerMessage.Echo) {
        received.merge(peer, echo.number, ::maxOf)
    }

    /** The highest echo number received from [peer]. */
    fun highest(peer: DaemonId): Long? = received[peer]

    /** Forgets the peers that are not among [live]. */
    fun retain(live: Set<DaemonId>) {
        received.keys.retainAll(live)
    }

    private data class SentEcho(val number: Long, val at: Duration)

    private companion object {
        /** At two echoes a second, the remembered ones cover 32 seconds, far more than the evidence limit. */
        const val REMEMBERED = 64
    }
}
