package boragering.core.membership

import boragering.core.DaemonId
import boragering.core.timeline.TimelineEntry
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * What this daemon knows about another one. [since] is the monotonic time at which the current state was set; a
 * repeated suspicion of the same heartbeat keeps the time of the first one.
 */
internal data class KnownDaemon(val record: DaemonRecord, val live: Boolean, val since: Duration) {
    /** Whether the daemon is still live but will be declared lost unless it refutes the suspicion. */
    val suspected: Boolean get() = live && record.state == DaemonState.SUSPECTED

    /**
     * When the heartbeat in [next] was first suspected, or `null` if it was not suspected yet. A second report
     * therefore does not extend the suspicion timeout.
     */
    fun suspectedSince(next: DaemonRecord): Duration? =
        since.takeIf { record.state == DaemonState.SUSPECTED && record.heartbeat == next.heartbeat }
}

/**
 * The daemons other than this one. A daemon becomes live only through a record that it issued itself or through its
 * registration. It stops being live [SUSPICION_TIMEOUT] after this daemon learned of the suspicion, or immediately when
 * it announces that it leaves.
 */
internal class DaemonTable(
    private val self: Registration,
    private val items: ItemReplica,
    private val ports: MembershipPorts,
    private val isolation: IsolationDetector,
) {
    private val clock = ports.clock
    private val lock = ReentrantLock()
    private val daemons = HashMap<DaemonId, KnownDaemon>()
    private var wasIsolated = false

    /** All live daemons including this one, sorted by id. */
    @Volatile
    var live: PersistentList<Registration> = persistentListOf(self)
        private set

    @Volatile
    private var lazyNeighbours = lazyOf(persistentListOf<Registration>())

    /** The neighbours of this daemon among [live]. */
    val neighbours: PersistentList<Registration> get() = lazyNeighbours.value

    fun get(daemon: DaemonId): KnownDaemon? = lock.withLock { daemons[daemon] }

    /** Daemons that are not live but did not announce that they left; a network partition may separate them. */
    fun lostDaemons(): List<KnownDaemon> =
        lock.withLock { daemons.values.filter { !it.live && it.record.state != DaemonState.LEFT } }

    /** Applies the newest record of another daemon. */
    fun update(record: DaemonRecord) = applyChange {
        val known = daemons[record.daemon]
        val now = clock.monotonic()
        daemons[record.daemon] = when (record.state) {
            DaemonState.ALIVE -> KnownDaemon(record, live = true, since = now)
            DaemonState.LEFT -> KnownDaemon(record, live = false, since = now)
            DaemonState.SUSPECTED -> KnownDaemon(record, known?.live == true, known?.suspectedSince(record) ?: now)
        }
    }

    /** Declares suspected daemons lost when their timeout has expired, and removes records older than [RETENTION]. */
    fun expire() {
        val isolated = isolation.isIsolated()
        // Most checks find no expired suspicion, so the list of live daemons is rebuilt only when there is one.
        val due = lock.withLock { wasIsolated != isolated || daemons.values.any { suspicionExpired(it, isolated) } }
        if (due) {
            applyChange {
                if (wasIsolated && !isolated) resetSuspicionTimers()
                wasIsolated = isolated
                val now = clock.monotonic()
                daemons.replaceAll { _, known ->
                    if (suspicionExpired(known, isolated)) known.copy(live = false, since = now) else known
                }
            }
        }
        forgetExpired()
    }

    /** Restarts the timeouts of all suspicions after a pause, during which no refutation could be received. */
    fun restartSuspicions() = applyChange { resetSuspicionTimers() }

    /** Removes all daemons, for use when the records are too old to be relied on. */
    fun clear() = applyChange { daemons.clear() }

    private fun resetSuspicionTimers() = daemons.replaceAll { _, known ->
        if (known.suspected) known.copy(since = clock.monotonic()) else known
    }

    private fun suspicionExpired(known: KnownDaemon, isolated: Boolean): Boolean {
        val age = clock.monotonic() - known.since
        return known.suspected && age >= SUSPICION_TIMEOUT &&
            (!isolated || isolation.confirmsLoss(known.record.daemon, age))
    }

    private fun forgetExpired() {
        val now = clock.monotonic()
        val old = lock.withLock { daemons.values.filter { !it.live && now - it.since >= RETENTION } }
        old.filter { items.forget(it.record.toItem()) }
            .forEach { known -> lock.withLock { daemons.remove(known.record.daemon, known) } }
    }

    private fun applyChange(action: () -> Unit) {
        val (before, after) = lock.withLock {
            val before = live
            action()
            val all = daemons.values.filter { it.live }.map { it.record.registration } + self
            live = all.sortedBy { it.daemon.value }.toPersistentList()
            val current = live
            // Many daemons become known in quick succession at startup, so the ring is computed only when it is read.
            if (current != before) lazyNeighbours = lazy { PeerRing.neighbours(self.daemon, current) }
            before to current
        }
        if (after == before) return
        val known = before.map { it.daemon }.toSet()
        val current = after.map { it.daemon }.toSet()
        (current - known).forEach { ports.timeline.record(TimelineEntry("daemon-live", "daemon $it is live")) }
        (known - current).forEach {
            ports.timeline.record(TimelineEntry("daemon-lost", "daemon $it is no longer live"))
            ports.seedLink.reconnect(it)
        }
    }

    /** Timeouts of the failure detection. */
    companion object {
        /** Time after which a suspected daemon is declared lost. */
        val SUSPICION_TIMEOUT = 5.seconds

        /**
         * How long the record of a lost daemon or of one that left is kept. This exceeds every delay with which an
         * older record could arrive. A daemon that was paused for at least half of this time discards all its records.
         */
        val RETENTION = 10.minutes
    }
}
