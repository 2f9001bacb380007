package boragering.fleet

import boragering.core.FabricDomain

/** Which instances a planner has told to stage weights. Not safe for use by several threads. */
internal class StagingBook {
    private class Staging(val order: Order.Stage) {
        var refused = false
    }

    private val stagings = HashMap<InstanceStart, Staging>()

    /** The model that each instance was told to stage. */
    val models: Map<InstanceStart, ModelName> get() = stagings.mapValues { (_, staging) -> staging.order.model }

    /** Forgets instances that are gone. */
    fun retain(state: PoolState) {
        stagings.keys.removeAll { state.present(it) == null }
    }

    /** Whether [instance] was told to stage weights. */
    operator fun contains(instance: Instance): Boolean = instance.start in stagings

    /** Notes that [instance] is told to stage [model], and returns the order. */
    fun order(instance: Instance, model: ModelName): AddressedOrder {
        val order = Order.Stage(model)
        stagings[instance.start] = Staging(order)
        return AddressedOrder(instance, order)
    }

    fun answered(addressed: AddressedOrder, outcome: OrderOutcome) {
        val staging = stagings[addressed.instance.start]?.takeIf { it.order == addressed.order } ?: return
        staging.refused = outcome is OrderOutcome.Refused
    }

    /** Number of loads that run. */
    fun loading(state: PoolState): Int = stagings.count { (start, staging) ->
        state.present(start)?.holds(staging.order.model) == false && !staging.refused
    }

    /** Number of instances of [domain] that hold [model] or were told to stage it. */
    fun holders(state: PoolState, domain: FabricDomain, model: ModelName): Int =
        state.answering.count { instance ->
            instance.groupDomain == domain &&
                (instance.holds(model) || stagings[instance.start]?.order?.model == model)
        }
}
