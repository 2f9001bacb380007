package boragering.fleet

import boragering.core.InstanceId
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The list of instances as it changes. An entry that disappears just after the list was out of reach may have expired
 * without its instance having ended; it counts as listed until the instance has had time to list itself again. Not safe
 * for use by several threads.
 */
class InstanceTracker {
    private var listed = persistentMapOf<InstanceId, Instance>()
    private val retainedUntil = HashMap<InstanceId, Duration>()
    private var revision = 0L

    /** Whether entries count as listed that have disappeared. */
    val retainsMissing: Boolean get() = retainedUntil.isNotEmpty()

    /** The instances that count as listed. */
    val list: InstanceList get() = InstanceList(revision, listed)

    /** Takes the entry of an instance; [atRevision] is the list's revision. */
    fun put(instance: Instance, atRevision: Long) {
        listed = listed.put(instance.id, instance)
        retainedUntil.remove(instance.id)
        revision = maxOf(revision, atRevision)
    }

    /**
     * Takes the models and the membership that an instance itself stated; all else stays as it is listed. An instance
     * that is not listed with this [start] is left out.
     */
    fun observe(start: InstanceStart, reported: Instance) {
        val known = listed[start.id]?.takeIf { it.start == start } ?: return
        val updated = known.copy(loaded = reported.loaded, staged = reported.staged, membership = reported.membership)
        listed = listed.put(start.id, updated)
    }

    /**
     * Takes the end of an entry at [now]; with [recovering], the list was out of reach shortly before.
     */
    fun remove(id: InstanceId, atRevision: Long, recovering: Boolean, now: Duration) {
        revision = maxOf(revision, atRevision)
        when {
            id !in listed -> Unit
            recovering -> retainedUntil.putIfAbsent(id, now + RELIST_TIMEOUT)
            else -> drop(id)
        }
    }

    /** Drops at [now] what did not return in time; whether anything changed. */
    fun expire(now: Duration): Boolean {
        val expired = retainedUntil.filterValues { it <= now }.keys.toList()
        expired.forEach(::drop)
        return expired.isNotEmpty()
    }

    private fun drop(id: InstanceId) {
        retainedUntil.remove(id)
        listed = listed.remove(id)
    }

    private companion object {
        /** Time for living instances to list themselves again. */
        val RELIST_TIMEOUT = 2_300.milliseconds
    }
}
