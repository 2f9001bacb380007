package boragering.fleet

import boragering.core.GroupId
import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Which spare instances a planner has told to get their weights ready. An instance does so when it joins a group; a
 * spare one joins a group of its own that is never opened, so that it takes the place of a lost member at once. Not
 * safe for use by several threads.
 */
internal class StandbyBook {
    private val orderedAt = HashMap<InstanceStart, Duration>()

    /** Forgets instances that are gone or ready, and those that did not become so by [now]. */
    fun retain(state: PoolState, now: Duration) {
        orderedAt.entries.removeAll { (start, at) ->
            state.present(start)?.loaded?.isEmpty() != true || now - at >= RETRY_INTERVAL
        }
    }

    /** Whether [instance] was told to get ready. */
    operator fun contains(instance: Instance): Boolean = instance.start in orderedAt

    /** Notes that [instance] is told at [now] to get ready for [model], and returns the order. */
    fun order(instance: Instance, model: ModelName, epoch: Long, now: Duration): AddressedOrder {
        orderedAt[instance.start] = now
        val group = GroupEpoch(GroupId("$NAME_PREFIX$epoch"), epoch)
        return AddressedOrder(instance, Order.Join(group, model, persistentListOf(instance.id)))
    }

    /** Tells such groups from others. */
    companion object {
        private const val NAME_PREFIX = "standby-"
        private val RETRY_INTERVAL = 5.seconds

        /** Whether [group] is that of one spare instance. */
        fun owns(group: GroupEpoch): Boolean = group.group.value.startsWith(NAME_PREFIX)
    }
}
