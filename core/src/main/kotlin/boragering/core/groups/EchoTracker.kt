package boragering.core.groups

import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.membership.PeerMessage
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/**
 * The numbered echoes of this daemon and its peers. A peer's message that names one of this daemon's echoes was built
 * after that echo had been sent, which bounds the message's time in transit by this daemon's own clock.
 * Safe for use by several threads.
 */
class EchoTracker(private val clock: Clock) {
    private val sent = ArrayDeque<SentEcho>()
    private val received = ConcurrentHashMap<DaemonId, Long>()
    private var number = 0L

    /** The next echo; it must be sent at once, and may be sent to several peers. */
    fun next(): PeerMessage.Echo = synchronized(sent) {
        number++
        sent.addLast(SentEcho(number, clock.monotonic()))
        if (sent.size > REMEMBERED) sent.removeFirst()
        PeerMessage.Echo(number)
    }

    /** When this daemon sent echo [number]; `null` when it did not, or too long ago. */
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
        /** At two echoes a second these are the last 32 seconds, far more than the evidence limit. */
        const val REMEMBERED = 64
    }
}
