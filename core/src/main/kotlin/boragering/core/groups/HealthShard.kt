package boragering.core.groups

import boragering.core.Fence
import boragering.core.GroupId
import kotlin.time.Duration

/** A group under one fencing number. */
data class GroupKey(val group: GroupId, val fence: Fence)

/** The newest evidence and the leaving marks of a subset of the groups, guarded by one lock. */
internal class HealthShard(private val leavingMargin: Duration) {
    private val evidence = HashMap<GroupKey, GroupEvidence>()
    private val leaving = HashMap<GroupKey, Duration>()

    /** Stores [newer] unless later evidence is known. At equal times, evidence that forbids requests is kept. */
    @Synchronized
    fun observe(newer: GroupEvidence) {
        val key = GroupKey(newer.group, newer.fence)
        val known = evidence[key]
        val replaces = known == null || newer.at > known.at || (newer.at == known.at && !newer.allowsRequests)
        if (!replaces) return
        evidence[key] = newer
        val marked = leaving[key]
        if (marked != null && newer.allowsRequests && newer.at >= marked + leavingMargin) leaving.remove(key)
    }

    /** Marks a group as leaving at [now]. */
    @Synchronized
    fun markLeaving(key: GroupKey, now: Duration) {
        leaving[key] = now
    }

    /** The newest evidence. */
    @Synchronized
    fun evidence(key: GroupKey): GroupEvidence? = evidence[key]

    /** The newest evidence if it allows new requests and the group is not marked as leaving. */
    @Synchronized
    fun allowsRequests(key: GroupKey): GroupEvidence? = evidence[key]?.takeIf { it.allowsRequests && key !in leaving }

    /** Removes evidence from before [limit], and leaving marks from before [limit] that have no evidence. */
    @Synchronized
    fun prune(limit: Duration) {
        evidence.values.removeIf { it.at < limit }
        leaving.entries.removeIf { it.value < limit && it.key !in evidence }
    }
}
