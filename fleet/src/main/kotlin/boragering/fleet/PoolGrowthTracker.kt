package boragering.fleet

import boragering.core.FabricDomain
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Detects when a pool has stopped growing. Instances list themselves one after the other. If groups were formed at
 * once, the first instances would be put into whatever groups they allow. Not thread-safe.
 */
internal class PoolGrowthTracker {
    private var known = emptySet<InstanceStart>()
    private val grownAt = HashMap<FabricDomain, Duration>()

    /** Records which instances have been added to the pool by [now]. */
    fun observe(state: PoolState, now: Duration) {
        state.instances.filter { it.start !in known }.forEach { grownAt[it.groupDomain] = now }
        known = state.instances.mapTo(HashSet()) { it.start }
    }

    /** Whether the whole pool has stopped growing by [now], so that its first groups can be formed. */
    fun isStable(now: Duration): Boolean =
        grownAt.isNotEmpty() && grownAt.values.all { now - it >= INITIAL_STABLE_TIME }

    /** Whether instances were added to [domain] less than [STABLE_TIME] before [now]. */
    fun growing(domain: FabricDomain, now: Duration): Boolean {
        val since = grownAt[domain]
        return since != null && now - since < STABLE_TIME
    }

    private companion object {
        /** Instances that start together are listed within one heartbeat of each other. */
        val INITIAL_STABLE_TIME = 1_200.milliseconds
        val STABLE_TIME = 400.milliseconds
    }
}
