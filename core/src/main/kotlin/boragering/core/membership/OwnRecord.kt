package boragering.core.membership

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** The record that this daemon publishes about itself. */
internal class OwnRecord(private val self: Registration, private val items: ItemReplica) {
    private val lock = ReentrantLock()
    private var record = DaemonRecord(self, FIRST_HEARTBEAT, DaemonState.ALIVE)

    /** The last published heartbeat. */
    val heartbeat: Long get() = lock.withLock { record.heartbeat }

    /** Publishes the current record. */
    fun publish() {
        items.accept(lock.withLock { record }.toItem())
    }

    /** Increments the heartbeat, which refutes every suspicion raised so far. */
    fun incrementHeartbeat() = raiseHeartbeat(above = 0)

    /** Announces that this daemon leaves; the record cannot change afterwards. */
    fun announceLeave() {
        lock.withLock { record = record.copy(state = DaemonState.LEFT) }
        publish()
    }

    /** Refutes [stated], a record that another daemon issued about this one, if it is a suspicion. */
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
        /** The heartbeat of a daemon that has just started; every registered daemon has reported at least this one. */
        const val FIRST_HEARTBEAT = 1L
    }
}
