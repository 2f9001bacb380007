package boragering.fleet

import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks which spare instances a planner has ordered to load their weights. An instance loads its weights when it joins
 * a group. A spare instance therefore joins a standby group of its own that is never opened, so that it can replace a
 * lost member immediately. Not thread-safe.
 */
internal class StandbyTracker {
    private val orderedAt = HashMap<InstanceStart, Duration>()

    /**
     * Removes the entries of instances that are not listed, do not answer or have loaded a model, or whose order is at
     * least [RETRY_INTERVAL] old at [now].
     */
    fun retain(state: PoolState, now: Duration) {
        orderedAt.entries.removeAll { (start, at) ->
            state.find(start)?.loaded?.isEmpty() != true || now - at >= RETRY_INTERVAL
        }
    }

    /** Whether [instance] has been ordered to load its weights. */
    operator fun contains(instance: Instance): Boolean = instance.start in orderedAt

    /** Records an order, sent at [now], for [instance] to load [model] in its standby [group]; returns the order. */
    fun order(instance: Instance, model: ModelName, group: GroupEpoch, now: Duration): AddressedOrder {
        orderedAt[instance.start] = now
        return AddressedOrder(instance, Order.Join(group, model, persistentListOf(instance.id)))
    }

    private companion object {
        /** Time after which an instance that has not loaded its weights gets the order again. */
        val RETRY_INTERVAL = 5.seconds
    }
}
