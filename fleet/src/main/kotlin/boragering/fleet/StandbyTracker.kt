package boragering.fleet

import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Which spare instances a planner has told to get their weights ready. An instance does so when it joins a group; a
 * spare one joins a group of its own that is never opened, so that it takes the place of a lost member at once. Not
 * safe for use by several threads.
 */
internal class StandbyTracker {
    private val orderedAt = HashMap<InstanceStart, Duration>()

    /** Forgets instances that are gone or ready, and those that did not become so by [now]. */
    fun retain(state: PoolState, now: Duration) {
        orderedAt.entries.removeAll { (start, at) ->
            state.find(start)?.loaded?.isEmpty() != true || now - at >= RETRY_INTERVAL
        }
    }

    /** Whether [instance] was told to get ready. */
    operator fun contains(instance: Instance): Boolean = instance.start in orderedAt

    /** Notes that [instance] is told at [now] to get ready for [model] in [group], and returns the order. */
    fun order(instance: Instance, model: ModelName, group: GroupEpoch, now: Duration): AddressedOrder {
        orderedAt[instance.start] = now
        return AddressedOrder(instance, Order.Join(group, model, persistentListOf(instance.id)))
    }

    private companion object {
        /** Time after which an instance that is not ready is asked again. */
        val RETRY_INTERVAL = 5.seconds
    }
}
