package boragering.fleet

import boragering.core.FabricDomain
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tracks the staging orders of a planner until the instances hold the weights. Not thread-safe. */
internal class StagingTracker {
    private class Staging(val order: Order.Stage, val at: Duration) {
        var failed = false

        /** Whether the instance still stages weights for an earlier planner. */
        var busy = false
    }

    private val stagings = HashMap<InstanceStart, Staging>()

    /** The model that each instance is staging by an order of this planner. Failed orders are left out. */
    val models: Map<InstanceStart, ModelName>
        get() = stagings.filterValues { !it.failed && !it.busy }.mapValues { (_, staging) -> staging.order.model }

    /**
     * Removes the entries of instances that are no longer listed, do not answer or hold the weights. Removes entries
     * whose order failed, or found the instance busy, and can be repeated at [now].
     */
    fun retain(state: PoolState, now: Duration) {
        stagings.entries.removeAll { (start, staging) ->
            val retry = (staging.failed || staging.busy) && now - staging.at >= RETRY_INTERVAL
            retry || state.find(start)?.holds(staging.order.model) != false
        }
    }

    /** Whether [instance] has been ordered to stage weights. */
    operator fun contains(instance: Instance): Boolean = instance.start in stagings

    /** Records an order, sent at [now], for [instance] to stage [model], and returns the order. */
    fun order(instance: Instance, model: ModelName, now: Duration): AddressedOrder {
        val order = Order.Stage(model)
        stagings[instance.start] = Staging(order, now)
        return AddressedOrder(instance, order)
    }

    /** Records the outcome of a staging order. Outcomes of other orders are ignored. */
    fun recordOutcome(addressed: AddressedOrder, outcome: OrderOutcome) {
        val staging = stagings[addressed.instance.start]?.takeIf { it.order == addressed.order } ?: return
        staging.failed = outcome is OrderOutcome.Refused || outcome is OrderOutcome.NotSent
        staging.busy = outcome == OrderOutcome.Busy
    }

    /** Number of weight loads in progress for staging, including those that an earlier planner ordered. */
    fun loading(state: PoolState): Int = stagings.count { (start, staging) ->
        state.find(start)?.holds(staging.order.model) == false && !staging.failed
    }

    /** Number of instances of [domain] that have [model] loaded in a group, or are free and hold or stage it. */
    fun holders(state: PoolState, domain: FabricDomain, model: ModelName): Int {
        val staging = models
        return state.answering.count { it.groupDomain == domain && holds(it, model, staging) }
    }

    /** A second model staged on a member of a group does not count: this reserve replaces no spare instance. */
    private fun holds(instance: Instance, model: ModelName, staging: Map<InstanceStart, ModelName>): Boolean {
        val free = instance.membership.let { it == null || GroupEpochs.standby(it.group) }
        return if (free) instance.holds(model) || staging[instance.start] == model else model in instance.loaded
    }

    private companion object {
        /** Time after which a staging order that failed is repeated. */
        val RETRY_INTERVAL = 2.seconds
    }
}
