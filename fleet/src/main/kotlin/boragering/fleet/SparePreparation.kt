package boragering.fleet

import kotlin.time.Duration

/**
 * Orders spare instances to stage and load weights, so that they can replace lost members immediately. Not
 * thread-safe.
 */
internal class SparePreparation(private val epochs: GroupEpochs) {
    private val stagings = StagingTracker()
    private val standbys = StandbyTracker()

    /** The model that each instance is staging. */
    val staging: Map<InstanceStart, ModelName> get() = stagings.models

    /** Removes entries that are completed or expired at [now]. */
    fun retain(state: PoolState, now: Duration) {
        stagings.retain(state, now)
        standbys.retain(state, now)
    }

    /** Records the outcome of an order. */
    fun recordOutcome(addressed: AddressedOrder, outcome: OrderOutcome) = stagings.recordOutcome(addressed, outcome)

    /** Number of weight loads in progress for staging. */
    fun loading(state: PoolState): Int = stagings.loading(state)

    /**
     * Returns the orders for the spare instances to stage weights, as [composer] proposes. [tryAcquireLoad] acquires a
     * permit for one load; its argument tells whether the load is urgent.
     */
    fun stage(
        composer: GroupComposer,
        state: PoolState,
        now: Duration,
        tryAcquireLoad: (Boolean) -> Boolean,
    ): List<AddressedOrder> =
        composer.stagings { domain, model -> stagings.holders(state, domain, model) }.mapNotNull { proposal ->
            val permitted = proposal.instance !in stagings && tryAcquireLoad(proposal.urgent)
            if (permitted) stagings.order(proposal.instance, proposal.model, now) else null
        }

    /**
     * Returns orders to stage a second model on members of [serving] groups. A group that loses a member can then be
     * completed, or its other members can be used where instances are missing, without a load. [tryAcquireLoad]
     * acquires a permit for one load.
     */
    fun reserve(
        serving: List<Formation>,
        state: PoolState,
        now: Duration,
        tryAcquireLoad: () -> Boolean,
    ): List<AddressedOrder> =
        ReservePlan(serving, state, staging).proposals().mapNotNull { (instance, model) ->
            val permitted = instance !in stagings && tryAcquireLoad()
            if (permitted) stagings.order(instance, model, now) else null
        }

    /** Returns orders to load the weights of those [spares] that have them only staged on their hosts. */
    fun warm(spares: List<Instance>, state: PoolState, now: Duration): List<AddressedOrder> =
        spares.filter { it.loaded.isEmpty() && it.start !in staging && it !in standbys }.mapNotNull { spare ->
            val model = spare.staged.firstOrNull { it in state.engine.models }
            model?.let { standbys.order(spare, it, epochs.standby(), now) }
        }
}
