package boragering.core.groups

import boragering.core.Clock
import boragering.core.FabricDomain
import boragering.core.InstanceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What this daemon's own polls have shown of instances. Its state is in shards, each with its own lock.
 */
internal class ReportBook(private val clock: Clock) {
    private val shards = List(SHARDS) { HashMap<InstanceId, InstanceTrack>() }

    @Volatile
    private var watchingSince = clock.monotonic()

    /** Notes an instance's answer. */
    fun record(timed: TimedReport) {
        track(timed.report.instance) { it.record(timed) }
    }

    /** Notes that this daemon was not polling for a while, so that silence until now says nothing about instances. */
    fun resume() {
        watchingSince = clock.monotonic()
    }

    /** The newest report of [instance]. */
    fun report(instance: InstanceId): TimedReport? = track(instance) { it.timed }

    /**
     * What is known of [instance] now, as an instance of [domain], and as a member of [group] if it is one. [list] is
     * the newest live list.
     */
    fun observe(instance: InstanceId, group: Group?, domain: FabricDomain, list: InstanceList): Observation =
        track(instance) {
            it.noteListed(list.instances[instance]?.fabricDomain, list.readAt)
            it.noteGroup(group, clock.monotonic())
            it.observation(clock.monotonic(), watchingSince, domain, list.readAt)
        }

    /** Forgets the instances that were neither heard of nor asked for since a minute. */
    fun prune() {
        val limit = clock.monotonic() - FORGET_AFTER
        shards.forEach { shard -> synchronized(shard) { shard.values.removeIf { it.usedAt < limit } } }
    }

    private fun <T> track(instance: InstanceId, use: (InstanceTrack) -> T): T {
        val shard = shards[Math.floorMod(instance.value.hashCode(), SHARDS)]
        val now = clock.monotonic()
        return synchronized(shard) {
            val track = shard.getOrPut(instance) { InstanceTrack(now) }
            track.usedAt = now
            use(track)
        }
    }

    private companion object {
        const val SHARDS = 16
        val FORGET_AFTER = 60.seconds
    }
}

/** The record of one instance, used under its shard's lock. */
private class InstanceTrack(private val since: Duration) {
    var timed: TimedReport? = null
    var usedAt = since
    private var idleSince: Duration? = null
    private var incarnationSince: Duration? = null
    private var listedIn: Pair<FabricDomain?, Duration>? = null
    private var unready: Pair<GroupKey, Duration>? = null

    fun record(newer: TimedReport) {
        val known = timed
        if (known != null && newer.askedAt < known.askedAt) return
        val idle = newer.report.running + newer.report.queued == 0
        val sameIncarnation = known?.report?.incarnation == newer.report.incarnation
        val continuous = known != null && sameIncarnation && newer.askedAt - known.askedAt <= IDLE_GAP
        if (!sameIncarnation) incarnationSince = newer.askedAt
        idleSince = if (idle) idleSince?.takeIf { continuous } ?: newer.askedAt else null
        timed = newer
    }

    fun noteListed(domain: FabricDomain?, readAt: Duration) {
        if (listedIn?.first != domain || listedIn == null) listedIn = domain to readAt
    }

    fun noteGroup(group: Group?, now: Duration) {
        val member = group?.members?.firstOrNull { it.instance == timed?.report?.instance }
        val ready = group == null || (member != null && timed?.let { group.isServedBy(member, it.report) } == true)
        val key = group?.let { GroupKey(it.id, it.fence) }
        unready = if (ready || key == null) null else unready?.takeIf { it.first == key } ?: (key to now)
    }

    fun observation(now: Duration, watchingSince: Duration, domain: FabricDomain, readAt: Duration): Observation {
        val askedAt = timed?.askedAt
        val listedSince = listedIn?.second ?: readAt
        val heardAt = maxOf(askedAt ?: since, watchingSince)
        return Observation(
            report = timed?.report,
            age = askedAt?.let { now - it } ?: Duration.INFINITE,
            silentFor = now - heardAt,
            idleFor = idleSince?.let { start -> askedAt?.minus(start) } ?: Duration.ZERO,
            unreadyFor = unready?.let { now - maxOf(it.second, watchingSince) } ?: Duration.ZERO,
            unlistedFor = if (listedIn?.first == domain) Duration.ZERO else readAt - listedSince,
            // A report from before the list gave this domain may be that of a process in another domain.
            settledFor = incarnationSince?.takeIf { askedAt != null && askedAt >= listedSince }?.let { readAt - it }
                ?: Duration.ZERO,
        )
    }

    private companion object {
        /** Reports further apart than this do not show that the instance was idle between them. */
        val IDLE_GAP = 2.5.seconds
    }
}
