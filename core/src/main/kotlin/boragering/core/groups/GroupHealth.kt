package boragering.core.groups

import boragering.core.Candidate
import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.EntryName
import boragering.core.Fence
import boragering.core.GroupId
import boragering.core.TargetDirectory
import boragering.core.membership.PeerMessage
import boragering.core.membership.Peers
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of [GroupHealth]. Evidence older than [evidenceLimit] does not allow new requests. A leaving mark is removed
 * only by evidence from at least [leavingMargin] later. [holdersPerGroup] is the number of daemons that keep the health
 * of a group and may send requests to it.
 */
data class HealthSettings(
    val evidenceLimit: Duration = 2.5.seconds,
    val leavingMargin: Duration = 1.seconds,
    val holdersPerGroup: Int = DEFAULT_HOLDERS,
) {
    /** Default values. */
    companion object {
        /** With up to this many live daemons, every daemon holds every group and can therefore serve every entry. */
        const val DEFAULT_HOLDERS = 16
    }
}

/**
 * The health of groups as this daemon knows it from its own polls and from planners' summaries. Only the newest
 * evidence of a group is used. Its age is an upper bound, measured by the monotonic clock. Safe for use by several
 * threads.
 */
class GroupHealth(
    private val peers: Peers,
    divisions: DivisionSource,
    private val echoes: EchoTracker,
    private val clock: Clock,
    private val settings: HealthSettings = HealthSettings(),
) : TargetDirectory {
    private val held = HeldGroups(peers, divisions, settings.holdersPerGroup)
    private val shards = List(SHARDS) { HealthShard(settings.leavingMargin) }

    override fun candidates(entry: EntryName): PersistentList<Candidate> {
        val now = clock.monotonic()
        return held.current().activeByEntry[entry].orEmpty()
            .mapNotNull { candidate(it.group, now) }
            .toPersistentList()
    }

    override fun usable(candidate: Candidate): Boolean {
        val group = held.current().byGroup[candidate.group]?.group ?: return false
        val same = group.fence == candidate.fence && group.leadingMember.address == candidate.address
        return same && group.phase == GroupPhase.Active && candidate(group, clock.monotonic()) != null
    }

    /**
     * Marks a group as leaving, so that it gets no new requests. The mark is removed only by evidence that every member
     * reported itself ready and not leaving at least [HealthSettings.leavingMargin] after the mark was set, because a
     * stopping target may close its port before it reports that it is leaving.
     */
    override fun reportLeaving(group: GroupId, fence: Fence) {
        shard(group).markLeaving(GroupKey(group, fence), clock.monotonic())
    }

    /**
     * Records the summaries that [from] sent. They are ignored when they name no echo that this daemon remembers,
     * because their age is then unknown.
     */
    fun accept(from: DaemonId, message: PeerMessage.GroupSummaries) {
        val echoAt = message.echo?.let(echoes::sentAt) ?: return
        if (from != peers.self.daemon) message.summaries.forEach { observe(it.evidence(echoAt)) }
    }

    /** Records evidence from this daemon's own polls. */
    fun observe(evidence: GroupEvidence) {
        shard(evidence.group).observe(evidence)
    }

    /** Returns the groups that this daemon holds and their health, for operators. */
    fun status(): List<GroupStatus> {
        val now = clock.monotonic()
        return held.current().all.map { held ->
            val key = GroupKey(held.group.id, held.group.fence)
            held.status(shard(key.group).evidence(key), now, settings.evidenceLimit)
        }
    }

    /** Removes evidence older than one minute, and leaving marks of that age that have no evidence. */
    fun prune() {
        val limit = clock.monotonic() - FORGET_AFTER
        shards.forEach { it.prune(limit) }
    }

    /** The groups that this daemon holds. */
    internal val heldGroups: HeldGroupIndex get() = held.current()

    /** Returns the age of the newest evidence for [group] under its present fencing number, `null` without evidence. */
    internal fun evidenceAge(group: Group): Duration? =
        shard(group.id).evidence(GroupKey(group.id, group.fence))?.let { clock.monotonic() - it.at }

    private fun candidate(group: Group, now: Duration): Candidate? {
        val evidence = shard(group.id).allowsRequests(GroupKey(group.id, group.fence))
            ?.takeIf { now - it.at <= settings.evidenceLimit }
            ?: return null
        val address = group.leadingMember.address
        return Candidate(
            group.id,
            group.fence,
            address,
            evidence.running,
            evidence.queued,
            evidence.slots,
            now - evidence.at,
        )
    }

    private fun shard(group: GroupId): HealthShard = shards[Math.floorMod(group.value.hashCode(), SHARDS)]

    private companion object {
        const val SHARDS = 16
        val FORGET_AFTER = 60.seconds
    }
}
