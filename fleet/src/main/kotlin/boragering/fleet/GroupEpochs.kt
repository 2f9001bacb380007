package boragering.fleet

import boragering.core.GroupId

/**
 * Names the compositions of one planner. They are higher than those of earlier planners, whose [fence] is lower. Not
 * safe for use by several threads.
 */
internal class GroupEpochs(private val fence: Long) {
    private var used = 0L

    /** A new composition of a group that is to serve. */
    fun group(): GroupEpoch = next("group-")

    /** A new composition of one spare instance, which only gets its weights ready. */
    fun standby(): GroupEpoch = next(STANDBY_PREFIX)

    private fun next(prefix: String): GroupEpoch {
        used += 1
        val epoch = fence * EPOCHS_PER_PLANNER + used
        return GroupEpoch(GroupId("$prefix$epoch"), epoch)
    }

    /** Tells the compositions apart. */
    companion object {
        private const val STANDBY_PREFIX = "standby-"

        /** Epochs of one planner; its successor's fence is at least one higher. */
        private const val EPOCHS_PER_PLANNER = 1_000_000L

        /** Whether [group] is that of one spare instance. */
        fun standby(group: GroupEpoch): Boolean = group.group.value.startsWith(STANDBY_PREFIX)
    }
}
