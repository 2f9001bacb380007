package boragering.core.membership

import boragering.core.Clock
import boragering.core.DaemonId
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Whether this daemon is cut off from all its peers. Its pings to others then say nothing about them, so that it must
 * not conclude that they are lost and that all their work falls to it. It concludes that only of daemons that the
 * registrations no longer contain, or of all when the store too has not answered for [LOSS_TIMEOUT]: then no division can be
 * changed and nothing is moved back and forth by the conclusion.
 */
internal class IsolationDetector(private val clock: Clock) {
    private val lock = ReentrantLock()
    private var lastMessageAt = clock.monotonic()
    private var lastRead = RegistrationsRead(clock.monotonic(), null)

    /** Notes that a peer sent a message. */
    fun messageReceived() = lock.withLock { lastMessageAt = clock.monotonic() }

    /** Notes the daemons whose registrations a read that began at [startedAt] returned. */
    fun registrationsRead(startedAt: Duration, daemons: Set<DaemonId>) = lock.withLock {
        lastRead = RegistrationsRead(startedAt, daemons)
    }

    /** Whether no peer sent a message for a time in which several would have answered pings. */
    fun isIsolated(): Boolean = lock.withLock { clock.monotonic() - lastMessageAt > ISOLATION_TIMEOUT }

    /** Whether [daemon], suspected for [age], counts as lost while this daemon is isolated. */
    fun confirmsLoss(daemon: DaemonId, age: Duration): Boolean = lock.withLock {
        val now = clock.monotonic()
        val absent = lastRead.daemons?.let { daemon !in it } == true && now - lastRead.startedAt < age
        absent || now - maxOf(lastMessageAt, lastRead.startedAt) > LOSS_TIMEOUT
    }

    private data class RegistrationsRead(val startedAt: Duration, val daemons: Set<DaemonId>?)

    private companion object {
        /** Three pings of this daemon without a response, and none by another daemon. */
        val ISOLATION_TIMEOUT = 3.seconds
        val LOSS_TIMEOUT = 60.seconds
    }
}
