package boragering.gateway

import boragering.fleet.Candidate
import boragering.fleet.InstanceBackoffs
import boragering.fleet.InstanceStart
import boragering.fleet.LeavingInstances
import boragering.fleet.LoadReport
import boragering.fleet.RateShares
import boragering.fleet.ServiceProfile
import boragering.fleet.Target
import boragering.fleet.TargetLoad
import boragering.fleet.TargetPace
import boragering.fleet.TargetRate
import boragering.fleet.TargetTable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The connections and the load of each target that the gateway uses. Used on the event loop only. */
internal class TargetUsages(
    private val pools: ConnectionPoolContext,
    private val identity: ResponseIdentity,
    private val ports: GatewayPorts,
    private val cold: ColdTargets,
) {
    private val targets = HashMap<InstanceStart, TargetUsage>()
    private val leaving = LeavingInstances()
    private val backoffs = InstanceBackoffs()

    /** The connections and the load of [target]. */
    fun of(target: Target): TargetUsage = targets.getOrPut(target.head) {
        val shares = RateShares { maxHolders -> ports.peers.rates().share(target.head, maxHolders) }
        TargetUsage(ConnectionPool(pools, target.address, identity), TargetRate(shares, ports.random))
    }

    /** Records that [target] says in a response that it leaves; it gets no more requests than can be helped. */
    fun recordLeaving(target: Target) {
        if (leaving.record(target.head, pools.loop.now())) {
            ports.log.event("target-leaving", "target" to target.head, "group" to target.group)
        }
    }

    /** Records that [target] refuses a request and asks for none for [time]. */
    fun recordBackoff(target: Target, time: Duration) {
        backoffs.record(target.head, time, pools.loop.now())
        ports.log.event("target-backoff", "target" to target.head, "group" to target.group, "time" to time)
    }

    /** Time until the first of [targets] may get a request; `null` if there is none. */
    fun waitTime(targets: List<Target>): Duration? = backoffs.waitTime(targets, pools.loop.now())

    /** Combines those of [targets] that may get a new request with their loads. */
    fun candidates(targets: List<Target>): List<Candidate> {
        val now = pools.loop.now()
        val gateways = ports.gatewayCount()
        return leaving.usable(backoffs.usable(targets, now), now).map { target ->
            val usage = of(target)
            val free = usage.rate.mayTake(now, cold.limit(target))
            val load = if (free) usage.load else usage.load.copy(rateLimited = true)
            Candidate(target, load, usage.pace.estimate(now, gateways))
        }
    }

    /** Those of [targets] whose pace is known. */
    fun paces(targets: List<Target>): List<Candidate> {
        val now = pools.loop.now()
        val gateways = ports.gatewayCount()
        return targets.mapNotNull { target ->
            val usage = this.targets[target.head]
            usage?.pace?.estimate(now, gateways)?.let { Candidate(target, usage.load, it) }
        }
    }

    /** Ends the rate limit of the target with the head instance [head], if there is one. */
    fun endRateLimit(head: InstanceStart) {
        targets[head]?.rate?.end(pools.loop.now())
    }

    /**
     * Removes the targets that are not in [table], except those with requests in progress. What withheld targets have
     * stated is kept until they may get requests again.
     */
    fun retain(table: TargetTable) {
        val kept = (table.all + table.withheld).mapTo(HashSet()) { it.head }
        targets.entries.removeIf { (start, usage) ->
            (start !in kept && usage.load.ownInFlight == 0).also { if (it) usage.pool.close() }
        }
    }
}

/**
 * The connections, the load and the recent activity of one target.
 *
 * @property rate the rate of requests that the target takes.
 * @property pace the time between the events of the target's streams.
 */
internal class TargetUsage(val pool: ConnectionPool, val rate: TargetRate, val pace: TargetPace = TargetPace()) {
    /** When the requests without an event or an answer were sent, oldest first. */
    private val awaiting = ArrayList<Duration>()
    private var activeStreams = 0
    private var lastActiveAt = Duration.ZERO
    private var consecutiveSuspicions = 0

    /** Number of streams that are not read, whose silence says nothing about the target. */
    var pausedResponses = 0

    /** When a stream was last read again after a pause. */
    var resumedAt = Duration.ZERO

    var load = TargetLoad()
        private set

    /** Called when a request is sent at [now]. */
    fun onRequestStart(now: Duration) {
        rate.onSend(now)
        pace.onSend(now)
        awaiting += now
        load = load.copy(ownInFlight = load.ownInFlight + 1, awaitingSince = awaiting.first())
    }

    /** Called when the request that was sent at [sentAt] ends; [streamed] tells whether events had arrived. */
    fun onRequestEnd(sentAt: Duration, streamed: Boolean) {
        if (streamed) activeStreams -= 1 else awaiting.remove(sentAt)
        load = load.copy(ownInFlight = load.ownInFlight - 1, awaitingSince = awaiting.firstOrNull())
    }

    /** Called when the first event of the response to the request that was sent at [sentAt] arrives. */
    fun onStreamStart(sentAt: Duration) {
        activeStreams += 1
        awaiting.remove(sentAt)
        load = load.copy(awaitingSince = awaiting.firstOrNull())
    }

    /** Records at [now] that the target made progress with a response, and ends the suspicion against it. */
    fun recordActivity(now: Duration) {
        lastActiveAt = now
        consecutiveSuspicions = 0
        if (load.suspectUntil != null) load = load.copy(suspectUntil = null)
    }

    /** Whether the target was active just before [now]. */
    fun recentlyActive(now: Duration): Boolean = activeWithin(RECENT_ACTIVITY_TIME, now)

    /** Whether the target was active in the last [time] before [now]. */
    fun activeWithin(time: Duration, now: Duration): Boolean = now - lastActiveAt < time

    /** Whether all streams have stalled for [limit], as happens when a group has lost a member. */
    fun stalled(now: Duration, limit: Duration): Boolean =
        activeStreams > pausedResponses && now - maxOf(lastActiveAt, resumedAt) > limit

    /** Updates the load from the target's header: numbers of running requests, waiting requests and slots. */
    fun updateLoad(header: String?, now: Duration) {
        val counts = header?.split(',')?.mapNotNull { it.trim().toIntOrNull() } ?: return
        if (counts.size < MIN_REPORTED_COUNTS) return
        load = load.copy(report = LoadReport(counts[0], counts[1], load.ownInFlight, now))
    }

    /**
     * Marks the target as suspected from [now] on, for a time that grows with each consecutive suspicion. Returns
     * whether the target was not suspected before.
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

    /** Marks the target as gone after a 421 response at [now]; responses to earlier requests do not revoke this. */
    fun markAway(now: Duration) {
        load = load.copy(identityMismatchUntil = now + AWAY_TIME)
    }

    private companion object {
        const val MIN_REPORTED_COUNTS = 2

        /** Time within which the list of instances shows that a target has ended. */
        val AWAY_TIME = 1_500.milliseconds
        val RECENT_ACTIVITY_TIME = 150.milliseconds

        /** Time for which a suspected target gets requests only if there is no other. */
        val SUSPICION_TIME = 2.seconds
        const val MAX_SUSPICION_DOUBLINGS = 2
    }
}

/** This gateway's share of the connections that one instance of a service accepts. */
internal fun ServiceProfile.connectionLimit(gateways: Int): Int =
    (connections * USABLE_CONNECTION_SHARE / gateways.coerceAtLeast(1)).toInt().coerceAtLeast(1)

/** Share of the connections in use; the rest is left for gateways that others do not know yet. */
private const val USABLE_CONNECTION_SHARE = 0.8
