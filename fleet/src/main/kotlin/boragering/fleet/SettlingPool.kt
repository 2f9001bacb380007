package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tells when a pool has not grown for a moment. Instances that list themselves one after the other would otherwise be
 * put into whatever groups the first ones allow. Not safe for use by several threads.
 */
internal class SettlingPool {
    private var known = emptySet<InstanceStart>()
    private var grownAt: Duration? = null

    /** Whether the pool has settled at [now]. */
    fun settled(state: PoolState, now: Duration): Boolean {
        val starts = state.instances.mapTo(HashSet()) { it.start }
        val since = grownAt?.takeIf { known.containsAll(starts) } ?: now
        known = starts
        grownAt = since
        return now - since >= SETTLING_TIME
    }

    private companion object {
        val SETTLING_TIME = 400.milliseconds
    }
}
