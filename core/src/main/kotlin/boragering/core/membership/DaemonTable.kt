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

/** A daemon as this daemon knows it. [since] is when the suspicion or the end was learned of. */
internal data class KnownDaemon(val record: DaemonRecord, val live: Boolean, val since: Duration) {
    /** Whether the daemon is live but will not be without a refutation. */
    val suspected: Boolean get() = live && record.state == DaemonState.SUSPECTED

    /** Since when the heartbeat of [next] has been suspected; a second report does not prolong a suspicion. */
    fun suspectedSince(next: DaemonRecord): Duration? =
        since.takeIf { record.state == DaemonState.SUSPECTED && record.heartbeat == next.heartbeat }
}

/**
 * The daemons other than this one. A daemon becomes live only by a record that it stated itself or by its registration,
 * and ends to be live [SUSPICION_TIMEOUT] after the suspicion was learned of, or at once when it announced its end.
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

    /** All live daemons including this one, in order of their ids. */
    @Volatile
    var live: PersistentList<Registration> = persistentListOf(self)
        private set

    @Volatile
    private var lazyNeighbours = lazyOf(persistentListOf<Registration>())

    /** The neighbours of this daemon among [live]. */
    val neighbours: PersistentList<Registration> get() = lazyNeighbours.value

    fun get(daemon: DaemonId): KnownDaemon? = lock.withLock { daemons[daemon] }

    /** Daemons that are not live but did not announce their end; they may be behind a partition. */
    fun lostDaemons(): List<KnownDaemon> =
        lock.withLock { daemons.values.filter { !it.live && it.record.state != DaemonState.LEFT } }

    /** Takes the newest record about another daemon. */
    fun update(record: DaemonRecord) = applyChange {
        val known = daemons[record.daemon]
        val now = clock.monotonic()
        daemons[record.daemon] = when (record.state) {
            DaemonState.ALIVE -> KnownDaemon(record, live = true, since = now)
            DaemonState.LEFT -> KnownDaemon(record, live = false, since = now)
            DaemonState.SUSPECTED -> KnownDaemon(record, known?.live == true, known?.suspectedSince(record) ?: now)
        }
    }

    /** Ends suspicions that were not refuted in time, and forgets daemons that ended long ago. */
    fun expire() {
        val isolated = isolation.isIsolated()
        // The list of live daemons is made anew only when something ends: most checks find nothing.
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

    /** Begins suspicions anew after a pause, since refutations could not be received meanwhile. */
    fun restartSuspicions() = applyChange { resetSuspicionTimers() }

    /** Drops all daemons, when they are too old to be a basis. */
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
            // Many daemons become known in quick succession at a start; their ring is of interest afterwards.
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

    /** Times of the failure detection. */
    companion object {
        /** Time from a suspicion to the loss. */
        val SUSPICION_TIMEOUT = 5.seconds

        /**
         * Time for which an ended daemon's record is kept. It exceeds every delay with which an older record could
         * arrive; a daemon that was paused for half of it drops what it knows.
         */
        val RETENTION = 10.minutes
    }
}
