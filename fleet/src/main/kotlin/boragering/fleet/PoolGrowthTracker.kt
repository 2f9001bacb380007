package boragering.fleet

import boragering.core.FabricDomain
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tells when a pool has not grown for a moment. Instances that list themselves one after the other would otherwise be
 * put into whatever groups the first ones allow. Not safe for use by several threads.
 */
internal class PoolGrowthTracker {
    private var known = emptySet<InstanceStart>()
    private val grownAt = HashMap<FabricDomain, Duration>()

    /** Takes the pool as it is at [now]. */
    fun observe(state: PoolState, now: Duration) {
        state.instances.filter { it.start !in known }.forEach { grownAt[it.groupDomain] = now }
        known = state.instances.mapTo(HashSet()) { it.start }
    }

    /** Whether the whole pool has stopped growing at [now], so that it can be divided. */
    fun isStable(now: Duration): Boolean =
        grownAt.isNotEmpty() && grownAt.values.all { now - it >= INITIAL_STABLE_TIME }

    /** Whether instances came to [domain] just before [now]. */
    fun growing(domain: FabricDomain, now: Duration): Boolean {
        val since = grownAt[domain]
        return since != null && now - since < STABLE_TIME
    }

    private companion object {
        /** Instances that start together list themselves within a heartbeat of each other. */
        val INITIAL_STABLE_TIME = 1_200.milliseconds
        val STABLE_TIME = 400.milliseconds
    }
}
