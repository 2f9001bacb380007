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
        targets.entries.removeIf { (start, used) ->
            (start !in kept && used.load.ownInFlight == 0).also { if (it) used.pool.close() }
        }
    }
}

/** One target in use. */
internal class TargetUsage(val pool: ConnectionPool) {
    private var flowing = 0
    private var heardAt = Duration.ZERO
    private var suspicions = 0

    var load = TargetLoad()
        private set

    fun begin() {
        load = load.copy(ownInFlight = load.ownInFlight + 1)
    }

    /** A request is over; [flowed] tells whether events of its answer had come. */
    fun end(flowed: Boolean) {
        load = load.copy(ownInFlight = load.ownInFlight - 1)
        if (flowed) flowing -= 1
    }

    /** The first event of an answer came. */
    fun flows() {
        flowing += 1
    }

    /** Bytes came at [now]. */
    fun heard(now: Duration) {
        heardAt = now
        suspicions = 0
        if (load.suspectUntil != null) load = load.copy(suspectUntil = null)
    }

    /** Whether bytes of the target came just before [now]. */
    fun flowsAt(now: Duration): Boolean = heardWithin(RECENT, now)

    /** Whether bytes of the target came in the last [time] before [now]. */
    fun heardWithin(time: Duration, now: Duration): Boolean = now - heardAt < time

    /** Whether streams have stood still for [limit]: a group that lost a member gives none of its streams an event. */
    fun stalled(now: Duration, limit: Duration): Boolean = flowing > 0 && now - heardAt > limit

    /** Takes what the target says of itself: requests that run, requests that wait, and slots, between commas. */
    fun report(header: String?, now: Duration) {
        val counts = header?.split(',')?.mapNotNull { it.trim().toIntOrNull() } ?: return
        if (counts.size < COUNTS) return
        load = load.copy(report = LoadReport(counts[0], counts[1], load.ownInFlight, now))
    }

    /**
     * Counts the target as failed from [now] on, the longer the more often in a row; whether it did not count so
     * before.
     */
    fun suspect(now: Duration): Boolean {
        val until = load.suspectUntil
        if (until != null && until > now) return false
        load = load.copy(suspectUntil = now + SUSPICION * (1 shl suspicions.coerceAtMost(MOST_DOUBLINGS)))
        suspicions += 1
        return true
    }

    /** The target said at [now] that it is not the one that was meant; answers to earlier requests prove nothing. */
    fun away(now: Duration) {
        load = load.copy(identityMismatchUntil = now + AWAY)
    }

    private companion object {
        const val COUNTS = 2

        /** Time in which the list shows what became of a target. */
        val AWAY = 1_500.milliseconds
        val RECENT = 150.milliseconds

        /** Time for which a target that failed gets requests only when there is no other. */
        val SUSPICION = 2.seconds
        const val MOST_DOUBLINGS = 2
    }
}

/** This gateway's part of the connections that one instance of a service accepts. */
internal fun ServiceProfile.connectionLimit(gateways: Int): Int =
    (connections * CONNECTIONS_IN_USE / gateways.coerceAtLeast(1)).toInt().coerceAtLeast(1)

/** Leaves connections for gateways that others do not know of yet. */
private const val CONNECTIONS_IN_USE = 0.8
