package boragering.core.membership

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** What this daemon states about itself. */
internal class OwnRecord(private val self: Registration, private val items: ItemReplica) {
    private val lock = ReentrantLock()
    private var record = DaemonRecord(self, FIRST_HEARTBEAT, DaemonState.ALIVE)

    /** The heartbeat last stated. */
    val heartbeat: Long get() = lock.withLock { record.heartbeat }

    /** States the present record. */
    fun publish() {
        items.accept(lock.withLock { record }.toItem())
    }

    /** Raises the heartbeat, so that a suspicion that arose until now is refuted. */
    fun incrementHeartbeat() = raiseHeartbeat(above = 0)

    /** Announces the end; the record cannot change afterwards. */
    fun announceLeave() {
        lock.withLock { record = record.copy(state = DaemonState.LEFT) }
        publish()
    }

    /** Refutes what another daemon states about this one, if it is a suspicion. */
    fun refute(stated: DaemonRecord) {
        if (stated.state == DaemonState.SUSPECTED && stated.heartbeat >= heartbeat) raiseHeartbeat(stated.heartbeat)
    }

    private fun raiseHeartbeat(above: Long) {
        lock.withLock {
            if (record.state == DaemonState.ALIVE) {
                record = record.copy(heartbeat = maxOf(record.heartbeat, above) + 1)
            }
        }
        publish()
    }

    companion object {
        /** The heartbeat of a daemon that has just started; one that is registered has stated it. */
        const val FIRST_HEARTBEAT = 1L
    }
}
