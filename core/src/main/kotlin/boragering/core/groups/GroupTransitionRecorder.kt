package boragering.core.groups

import boragering.core.GroupId
import boragering.core.timeline.Timeline
import boragering.core.timeline.TimelineEntry

/**
 * Records on the time line when a group becomes whole and when it stops being whole, as the planner of its domain sees
 * it. Used by one coroutine.
 */
internal class GroupTransitionRecorder(private val timeline: Timeline) {
    private val wholeByGroup = HashMap<GroupId, Boolean>()

    /** Records a transition if [isWhole] differs from the last known state of [group]. */
    fun update(group: Group, isWhole: Boolean) {
        val before = wholeByGroup.put(group.id, isWhole) ?: false
        if (before != isWhole) timeline.record(entry(group, isWhole))
    }

    /** Removes the state of groups that are not in [groups]. */
    fun retain(groups: Set<GroupId>) {
        wholeByGroup.keys.retainAll(groups)
    }

    private fun entry(group: Group, isWhole: Boolean): TimelineEntry {
        val kind = if (isWhole) "group-whole" else "group-not-whole"
        val text = "fencing number ${group.fence}: " + if (isWhole) "every member is ready" else "a member is not ready"
        return TimelineEntry(kind, text, group = group.id, entry = group.entry)
    }
}
