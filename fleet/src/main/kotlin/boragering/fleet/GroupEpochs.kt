package boragering.fleet

import boragering.core.GroupId

/**
 * Generates the group ids and epochs of one planner. They are higher than those of earlier planners, which have a lower
 * [fence]. Not thread-safe.
 */
internal class GroupEpochs(private val fence: Long) {
    private var used = 0L

    /** Returns the id and epoch for a new group that will serve requests. */
    fun group(): GroupEpoch = next("group-")

    /** Returns the id and epoch for a standby group: one spare instance that only loads its weights. */
    fun standby(): GroupEpoch = next(STANDBY_PREFIX)

    private fun next(prefix: String): GroupEpoch {
        used += 1
        val epoch = fence * EPOCHS_PER_PLANNER + used
        return GroupEpoch(GroupId("$prefix$epoch"), epoch)
    }

    /** Recognises standby groups by their ids. */
    companion object {
        private const val STANDBY_PREFIX = "standby-"

        /** Number of epochs reserved for each fence. A planner's successor has a fence that is at least one higher. */
        private const val EPOCHS_PER_PLANNER = 1_000_000L

        /** Whether [group] is the standby group of one spare instance. */
        fun standby(group: GroupEpoch): Boolean = group.group.value.startsWith(STANDBY_PREFIX)
    }
}
