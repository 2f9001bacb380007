package boragering.fleet

import boragering.core.FabricDomain
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Which instances a planner has told to stage weights, until they hold them. Not safe for use by several threads.
 */
internal class StagingTracker {
    private class Staging(val order: Order.Stage, val at: Duration) {
        var failed = false
    }

    private val stagings = HashMap<InstanceStart, Staging>()

    /** The model that each instance is staging. */
    val models: Map<InstanceStart, ModelName>
        get() = stagings.filterValues { !it.failed }.mapValues { (_, staging) -> staging.order.model }

    /** Forgets instances that are gone, that hold what they were to stage, or that can be asked again at [now]. */
    fun retain(state: PoolState, now: Duration) {
        stagings.entries.removeAll { (start, staging) ->
            val retry = staging.failed && now - staging.at >= RETRY_INTERVAL
            retry || state.find(start)?.holds(staging.order.model) != false
        }
    }

    /** Whether [instance] was told to stage weights. */
    operator fun contains(instance: Instance): Boolean = instance.start in stagings

    /** Notes that [instance] is told at [now] to stage [model], and returns the order. */
    fun order(instance: Instance, model: ModelName, now: Duration): AddressedOrder {
        val order = Order.Stage(model)
        stagings[instance.start] = Staging(order, now)
        return AddressedOrder(instance, order)
    }

    fun recordOutcome(addressed: AddressedOrder, outcome: OrderOutcome) {
        val staging = stagings[addressed.instance.start]?.takeIf { it.order == addressed.order } ?: return
        staging.failed = outcome is OrderOutcome.Refused || outcome is OrderOutcome.NotSent
    }

    /** Number of loads that run. */
    fun loading(state: PoolState): Int = stagings.count { (start, staging) ->
        state.find(start)?.holds(staging.order.model) == false && !staging.failed
    }

    /** Number of instances of [domain] that serve [model], or that are free and hold it or are staging it. */
    fun holders(state: PoolState, domain: FabricDomain, model: ModelName): Int {
        val staging = models
        return state.answering.count { it.groupDomain == domain && holds(it, model, staging) }
    }

    /** What members of groups keep besides their own model is a reserve; it replaces no spare instance. */
    private fun holds(instance: Instance, model: ModelName, staging: Map<InstanceStart, ModelName>): Boolean {
        val free = instance.membership.let { it == null || GroupEpochs.standby(it.group) }
        return if (free) instance.holds(model) || staging[instance.start] == model else model in instance.loaded
    }

    private companion object {
        /** Time after which an instance that did not begin to stage is asked again. */
        val RETRY_INTERVAL = 2.seconds
    }
}
