package boragering.core.groups

import boragering.core.Clock
import boragering.core.FabricDomain
import boragering.core.InstanceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Stores the results of this daemon's own polls for each instance. The state is split into shards, each with its own
 * lock.
 */
internal class InstanceTracker(private val clock: Clock) {
    private val shards = List(SHARDS) { HashMap<InstanceId, TrackedInstance>() }

    @Volatile
    private var pollingSince = clock.monotonic()

    /** Stores a report unless the report of a later poll of the same instance is already stored. */
    fun record(latest: TimedReport) {
        withInstance(latest.report.instance) { it.record(latest) }
    }

    /**
     * Restarts the measurement of silence after a time without polls, because such a time is no evidence that instances
     * are lost.
     */
    fun restartObservation() {
        pollingSince = clock.monotonic()
    }

    /** The newest report of [instance]. */
    fun report(instance: InstanceId): TimedReport? = withInstance(instance) { it.latest }

    /**
     * Returns the observed state of [instance] as an instance of [domain] and, unless `null`, as a member of [group].
     * [list] is the newest live list.
     */
    fun observe(
        instance: InstanceId,
        group: Group?,
        domain: FabricDomain,
        list: LiveListSnapshot,
    ): InstanceObservation =
        withInstance(instance) {
            it.updateListedDomain(list.instances[instance]?.fabricDomain, list.readAt)
            it.updateGroup(group, clock.monotonic())
            it.observation(clock.monotonic(), pollingSince, domain, list.readAt)
        }

    /** Removes the instances that have been neither recorded nor queried for a minute. */
    fun prune() {
        val limit = clock.monotonic() - FORGET_AFTER
        shards.forEach { shard -> synchronized(shard) { shard.values.removeIf { it.usedAt < limit } } }
    }

    private fun <T> withInstance(instance: InstanceId, use: (TrackedInstance) -> T): T {
        val shard = shards[Math.floorMod(instance.value.hashCode(), SHARDS)]
        val now = clock.monotonic()
        return synchronized(shard) {
            val tracked = shard.getOrPut(instance) { TrackedInstance(now) }
            tracked.usedAt = now
            use(tracked)
        }
    }

    private companion object {
        const val SHARDS = 16
        val FORGET_AFTER = 60.seconds
    }
}

/** The state of one instance, guarded by its shard's lock. */
private class TrackedInstance(private val createdAt: Duration) {
    var latest: TimedReport? = null
    var usedAt = createdAt
    private var idleSince: Duration? = null
    private var incarnationSince: Duration? = null
    private var listedDomain: Pair<FabricDomain?, Duration>? = null
    private var unready: Pair<GroupKey, Duration>? = null

    fun record(newer: TimedReport) {
        val known = latest
        if (known != null && newer.askedAt < known.askedAt) return
        val idle = newer.report.running + newer.report.queued == 0
        val sameIncarnation = known?.report?.incarnation == newer.report.incarnation
        val continuous = known != null && sameIncarnation && newer.askedAt - known.askedAt <= IDLE_GAP
        if (!sameIncarnation) incarnationSince = newer.askedAt
        idleSince = if (idle) idleSince?.takeIf { continuous } ?: newer.askedAt else null
        latest = newer
    }

    fun updateListedDomain(domain: FabricDomain?, readAt: Duration) {
        if (listedDomain?.first != domain || listedDomain == null) listedDomain = domain to readAt
    }

    fun updateGroup(group: Group?, now: Duration) {
        val member = group?.members?.firstOrNull { it.instance == latest?.report?.instance }
        val ready = group == null || (member != null && latest?.let { group.isMemberReady(member, it.report) } == true)
        val key = group?.let { GroupKey(it.id, it.fence) }
        unready = if (ready || key == null) null else unready?.takeIf { it.first == key } ?: (key to now)
    }

    fun observation(
        now: Duration,
        pollingSince: Duration,
        domain: FabricDomain,
        readAt: Duration,
    ): InstanceObservation {
        val askedAt = latest?.askedAt
        val listedSince = listedDomain?.second ?: readAt
        val heardAt = maxOf(askedAt ?: createdAt, pollingSince)
        return InstanceObservation(
            report = latest?.report,
            age = askedAt?.let { now - it } ?: Duration.INFINITE,
            silentFor = now - heardAt,
            idleFor = idleSince?.let { start -> askedAt?.minus(start) } ?: Duration.ZERO,
            unreadyFor = unready?.let { now - maxOf(it.second, pollingSince) } ?: Duration.ZERO,
            unlistedFor = if (listedDomain?.first == domain) Duration.ZERO else readAt - listedSince,
            // A report requested before the list gave this domain may come from a process in another domain.
            incarnationKnownFor = incarnationSince
                ?.takeIf { askedAt != null && askedAt >= listedSince }
                ?.let { readAt - it }
                ?: Duration.ZERO,
        )
    }

    private companion object {
        /** Two idle reports further apart than this do not show that the instance was idle between them. */
        val IDLE_GAP = 2.5.seconds
    }
}
