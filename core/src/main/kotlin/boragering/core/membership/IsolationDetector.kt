package boragering.core.membership

import boragering.core.Clock
import boragering.core.DaemonId
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Detects that this daemon is cut off from all its peers. Its failed pings are then no evidence that the peers are
 * lost, so it must not declare them lost and take over all their work. While isolated, it declares a daemon lost only
 * when the registrations in the store no longer contain that daemon, or when the store has not answered for
 * [LOSS_TIMEOUT] either. Without the store no division can be changed, so declaring all peers lost then moves no work
 * back and forth.
 */
internal class IsolationDetector(private val clock: Clock) {
    private val lock = ReentrantLock()
    private var lastMessageAt = clock.monotonic()
    private var lastRead = RegistrationsRead(clock.monotonic(), null)

    /** Records that a peer sent a message. */
    fun messageReceived() = lock.withLock { lastMessageAt = clock.monotonic() }

    /** Records the daemons whose registrations were returned by a store read that began at [startedAt]. */
    fun registrationsRead(startedAt: Duration, daemons: Set<DaemonId>) = lock.withLock {
        lastRead = RegistrationsRead(startedAt, daemons)
    }

    /** Whether no peer has sent a message for [ISOLATION_TIMEOUT], in which several would have answered pings. */
    fun isIsolated(): Boolean = lock.withLock { clock.monotonic() - lastMessageAt > ISOLATION_TIMEOUT }

    /** Whether [daemon], which has been suspected for [age], is to be declared lost while this daemon is isolated. */
    fun confirmsLoss(daemon: DaemonId, age: Duration): Boolean = lock.withLock {
        val now = clock.monotonic()
        val absent = lastRead.daemons?.let { daemon !in it } == true && now - lastRead.startedAt < age
        absent || now - maxOf(lastMessageAt, lastRead.startedAt) > LOSS_TIMEOUT
    }

    private data class RegistrationsRead(val startedAt: Duration, val daemons: Set<DaemonId>?)

    private companion object {
        /** Long enough for three pings of this daemon without an answer and no ping from another daemon. */
        val ISOLATION_TIMEOUT = 3.seconds
        val LOSS_TIMEOUT = 60.seconds
    }
}
