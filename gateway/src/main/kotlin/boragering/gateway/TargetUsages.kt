package boragering.gateway

import boragering.fleet.Candidate
import boragering.fleet.InstanceStart
import boragering.fleet.LoadReport
import boragering.fleet.ServiceProfile
import boragering.fleet.Target
import boragering.fleet.TargetLoad
import boragering.fleet.TargetTable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The connections and the load of each target that the gateway uses. Called on the event loop only. */
internal class TargetUsages(private val pools: ConnectionPoolContext, private val requestIdHeader: String) {
    private val targets = HashMap<InstanceStart, TargetUsage>()

    /** What the gateway knows of [target]. */
    fun of(target: Target): TargetUsage = targets.getOrPut(target.head) {
        TargetUsage(ConnectionPool(pools, target.address, requestIdHeader))
    }

    /** [targets] with their loads. */
    fun candidates(targets: List<Target>): List<Candidate> = targets.map { Candidate(it, of(it).load) }

    /** Forgets the targets that [table] lacks; requests that they run go on. */
    fun retain(table: TargetTable) {
        val kept = table.all.mapTo(HashSet()) { it.head }
        targets.entries.removeIf { (start, usage) ->
            (start !in kept && usage.load.own == 0).also { if (it) usage.pool.close() }
        }
    }
}

/** One target in use. */
internal class TargetUsage(val pool: ConnectionPool) {
    private var activeStreams = 0
    private var lastActiveAt = Duration.ZERO
    private var consecutiveSuspicions = 0

    var load = TargetLoad()
        private set

    fun onRequestStart() {
        load = load.copy(own = load.own + 1)
    }

    /** A request is over; [streamed] tells whether events of its answer had come. */
    fun onRequestEnd(streamed: Boolean) {
        load = load.copy(own = load.own - 1)
        if (streamed) activeStreams -= 1
    }

    /** The first event of an answer came. */
    fun onStreamStart() {
        activeStreams += 1
    }

    /** Bytes came at [now]. */
    fun recordActivity(now: Duration) {
        lastActiveAt = now
        consecutiveSuspicions = 0
        if (load.suspectUntil != null) load = load.copy(suspectUntil = null)
    }

    /** Whether bytes of the target came just before [now]. */
    fun recentlyActive(now: Duration): Boolean = activeWithin(RECENT_ACTIVITY_TIME, now)

    /** Whether bytes of the target came in the last [time] before [now]. */
    fun activeWithin(time: Duration, now: Duration): Boolean = now - lastActiveAt < time

    /** Whether streams have stood still for [limit]: a group that lost a member gives none of its streams an event. */
    fun stalled(now: Duration, limit: Duration): Boolean = activeStreams > 0 && now - lastActiveAt > limit

    /** Takes what the target says of itself: requests that run, requests that wait, and slots, between commas. */
    fun updateLoad(header: String?, now: Duration) {
        val counts = header?.split(',')?.mapNotNull { it.trim().toIntOrNull() } ?: return
        if (counts.size < MIN_REPORTED_COUNTS) return
        load = load.copy(report = LoadReport(counts[0], counts[1], load.own, now))
    }

    /**
     * Counts the target as failed from [now] on, the longer the more often in a row; whether it did not count so
     * before.
     */
    fun markSuspected(now: Duration): Boolean {
        val until = load.suspectUntil
        if (until != null && until > now) return false
        load = load.copy(
            suspectUntil = now + SUSPICION_TIME * (1 shl consecutiveSuspicions.coerceAtMost(MAX_SUSPICION_DOUBLINGS)),
        )
        consecutiveSuspicions += 1
        return true
    }

    /** The target said at [now] that it is not the one that was meant; answers to earlier requests prove nothing. */
    fun markAway(now: Duration) {
        load = load.copy(awayUntil = now + AWAY_TIME)
    }

    private companion object {
        const val MIN_REPORTED_COUNTS = 2

        /** Time in which the list shows what became of a target. */
        val AWAY_TIME = 1_500.milliseconds
        val RECENT_ACTIVITY_TIME = 150.milliseconds

        /** Time for which a target that failed gets requests only when there is no other. */
        val SUSPICION_TIME = 2.seconds
        const val MAX_SUSPICION_DOUBLINGS = 2
    }
}

/** This gateway's part of the connections that one instance of a service accepts. */
internal fun ServiceProfile.connectionLimit(gateways: Int): Int =
    (connections * USABLE_CONNECTION_SHARE / gateways.coerceAtLeast(1)).toInt().coerceAtLeast(1)

/** Leaves connections for gateways that others do not know of yet. */
private const val USABLE_CONNECTION_SHARE = 0.8
