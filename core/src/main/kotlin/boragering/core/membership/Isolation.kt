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
 * registrations no longer contain, or of all when the store too has not answered for [LIMIT]: then no division can be
 * changed and nothing is moved back and forth by the conclusion.
 */
internal class Isolation(private val clock: Clock) {
    private val lock = ReentrantLock()
    private var lastHeard = clock.monotonic()
    private var read = RegistrationsRead(clock.monotonic(), null)

    /** Notes that a peer sent a message. */
    fun heard() = lock.withLock { lastHeard = clock.monotonic() }

    /** Notes the daemons whose registrations a read that began at [startedAt] returned. */
    fun registrationsRead(startedAt: Duration, daemons: Set<DaemonId>) = lock.withLock {
        read = RegistrationsRead(startedAt, daemons)
    }

    /** Whether no peer sent a message for a time in which several would have answered pings. */
    fun isolated(): Boolean = lock.withLock { clock.monotonic() - lastHeard > SILENCE }

    /** Whether [daemon], suspected for [age], counts as lost while this daemon is isolated. */
    fun confirms(daemon: DaemonId, age: Duration): Boolean = lock.withLock {
        val now = clock.monotonic()
        val absent = read.daemons?.let { daemon !in it } == true && now - read.startedAt < age
        absent || now - maxOf(lastHeard, read.startedAt) > LIMIT
    }

    private data class RegistrationsRead(val startedAt: Duration, val daemons: Set<DaemonId>?)

    private companion object {
        /** Three pings of this daemon without a response, and none by another daemon. */
        val SILENCE = 3.seconds
        val LIMIT = 60.seconds
    }
}
