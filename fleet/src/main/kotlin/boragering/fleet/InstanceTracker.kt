package boragering.fleet

import boragering.core.InstanceId
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration

/**
 * Tracks the list of instances as it changes. An entry that disappeared while the list was unreachable may have expired
 * although its instance still runs. Such an entry is retained until the instance has had time to list itself again. Not
 * thread-safe.
 */
class InstanceTracker {
    private var listed = persistentMapOf<InstanceId, Instance>()
    private val retainedUntil = HashMap<InstanceId, Duration>()
    private var revision = 0L

    /** The instances whose entries are retained although they have disappeared from the list. */
    val retained: Set<InstanceId> get() = retainedUntil.keys

    /** Whether any entries are retained although they have disappeared from the list. */
    val retainsMissing: Boolean get() = retainedUntil.isNotEmpty()

    /** The listed instances, including retained entries. */
    val list: InstanceList get() = InstanceList(revision, listed)

    /** Adds or replaces the entry of an instance. [atRevision] is the list's revision. */
    fun put(instance: Instance, atRevision: Long) {
        listed = listed.put(instance.id, instance)
        retainedUntil.remove(instance.id)
        revision = maxOf(revision, atRevision)
    }

    /**
     * Applies the models and the membership that an instance itself [reported]. All other fields keep their listed
     * values. Does nothing if the instance is not listed with this [start].
     */
    fun observe(start: InstanceStart, reported: Instance) {
        val known = listed[start.id]?.takeIf { it.start == start } ?: return
        val updated = known.copy(loaded = reported.loaded, staged = reported.staged, membership = reported.membership)
        listed = listed.put(start.id, updated)
    }

    /**
     * Removes an entry that disappeared from the list, at once or, if it may return, unless it is put again before
     * [returnDeadline].
     */
    fun remove(id: InstanceId, atRevision: Long, returnDeadline: Duration?) {
        revision = maxOf(revision, atRevision)
        when {
            id !in listed -> Unit
            returnDeadline == null -> drop(id)
            else -> retainedUntil.putIfAbsent(id, returnDeadline)
        }
    }

    /** Drops the retained entries that did not return by [now], and returns the ids of their instances. */
    fun expire(now: Duration): Set<InstanceId> {
        val expired = retainedUntil.filterValues { it <= now }.keys.toSet()
        expired.forEach(::drop)
        return expired
    }

    private fun drop(id: InstanceId) {
        retainedUntil.remove(id)
        listed = listed.remove(id)
    }
}
