package boragering.core.groups

import boragering.core.Clock
import boragering.core.FabricDomain
import boragering.core.InstanceId
import boragering.core.timeline.Timeline
import boragering.core.timeline.TimelineEntry
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlin.time.Duration

/** The live list as read at [readAt] by the monotonic clock. */
internal class LiveListSnapshot private constructor(
    val instances: PersistentMap<InstanceId, ListedInstance>,
    private val byDomain: Map<FabricDomain, PersistentMap<InstanceId, ListedInstance>>,
    val readAt: Duration,
) {
    /** All domains with listed instances. */
    val domains: Set<FabricDomain> get() = byDomain.keys

    /** The instances that are listed for [domain]. */
    fun of(domain: FabricDomain): PersistentMap<InstanceId, ListedInstance> = byDomain[domain] ?: persistentMapOf()

    /** Whether the list says that [instance] is leaving. */
    fun leaving(instance: InstanceId): Boolean = instances[instance]?.state == ListedState.LEAVING

    companion object {
        /**
         * Indexes the list [read] at [at]. If the content equals that of [last], the index of [last] is shared, so that
         * counts derived from it need not be computed again.
         */
        fun of(read: List<ListedInstance>, at: Duration, last: LiveListSnapshot?): LiveListSnapshot {
            val instances = read.associateBy { it.id }
            if (last != null && last.instances == instances) return LiveListSnapshot(last.instances, last.byDomain, at)
            val byDomain = instances.values.groupBy { it.fabricDomain }
                .mapValues { (_, part) -> part.associateBy { it.id }.toPersistentMap() }
            return LiveListSnapshot(instances.toPersistentMap(), byDomain, at)
        }
    }
}

/**
 * Reads the live list and keeps the last one while the list cannot be read. An empty list after one that was not empty
 * is treated as a fault of the platform, because one wrong response would otherwise dissolve every group.
 */
internal class LiveListReader(
    private val liveList: LiveList,
    private val clock: Clock,
    private val timeline: Timeline,
) {
    private var failing = false

    /** The last list that was read, `null` before the first one. */
    @Volatile
    var current: LiveListSnapshot? = null
        private set

    /** Reads the list once; called by one coroutine. */
    suspend fun refresh() {
        val at = clock.monotonic()
        liveList.read().fold({ fail(it.reason) }) { listed ->
            val known = current
            if (listed.isEmpty() && known != null && known.instances.isNotEmpty()) {
                fail("the list is empty")
            } else {
                failing = false
                current = LiveListSnapshot.of(listed, at, known)
            }
        }
    }

    private fun fail(reason: String) {
        if (!failing) timeline.record(TimelineEntry("live-list-unavailable", reason))
        failing = true
    }
}
