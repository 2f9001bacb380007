package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * The instances that have said in a response that they leave. This holds for one start of an instance, whatever the
 * list of instances says, since the list may be out of date. Times are of the monotonic clock. Not thread-safe.
 */
class LeavingInstances {
    private class Statement(val firstAt: Duration, val lastAt: Duration)

    private val statements = RecentMap<InstanceStart, Statement>(MAX_INSTANCES)

    /** Records at [now] that [instance] says that it leaves. Returns whether that was not known. */
    fun record(instance: InstanceStart, now: Duration): Boolean {
        val known = known(instance, now)
        statements[instance] = Statement(known?.firstAt ?: now, now)
        return known == null
    }

    /** Whether [instance] leaves, as far as is known at [now]. */
    fun contains(instance: InstanceStart, now: Duration): Boolean = known(instance, now) != null

    /**
     * The [targets] that may get a new request at [now]: those that do not leave, or, if all do, those that have said
     * so only a moment ago and therefore still have time to serve it.
     */
    fun usable(targets: List<Target>, now: Duration): List<Target> {
        if (statements.isEmpty) return targets
        return targets.filterNot { contains(it.head, now) }.ifEmpty { targets.filter { saidJustNow(it.head, now) } }
    }

    private fun saidJustNow(instance: InstanceStart, now: Duration): Boolean =
        known(instance, now).let { it == null || now - it.firstAt < LAST_RESORT_TIME }

    private fun known(instance: InstanceStart, now: Duration): Statement? =
        statements[instance]?.takeIf { now - it.lastAt < STATEMENT_VALIDITY }

    private companion object {
        const val MAX_INSTANCES = 4_096

        /** Time for which a leaving instance is used if there is no other; shorter than any time limit for a drain. */
        val LAST_RESORT_TIME = 1.seconds

        /** Time after its last statement within which a leaving instance ends. */
        val STATEMENT_VALIDITY = 10.minutes
    }
}
