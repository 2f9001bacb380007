package boragering.fleet

import boragering.core.InstanceId
import kotlinx.collections.immutable.PersistentList

/** What a planner asks of one instance. Orders that name a group and epoch affect no other membership. */
sealed interface Order {
    /** The group that the order is about, if it is about one. */
    val group: GroupEpoch?

    /** Become a member of [group]; the first of [members] is its head. Replaces an earlier membership. */
    data class Join(
        override val group: GroupEpoch,
        val model: ModelName,
        val members: PersistentList<InstanceId>,
    ) : Order

    /** Serve as the head of [group]. */
    data class Open(override val group: GroupEpoch) : Order

    /** Take no more requests as the head of [group], and finish those that run. */
    data class Close(override val group: GroupEpoch) : Order

    /** Give up the membership of [group] at once, and with it all work. */
    data class Leave(override val group: GroupEpoch) : Order

    /** Load the weights of [model] to the host. */
    data class Stage(val model: ModelName) : Order {
        override val group: GroupEpoch? get() = null
    }
}

/** An order and the instance that gets it. */
data class AddressedOrder(val instance: Instance, val order: Order)

/** What became of an order. */
sealed interface OrderOutcome {
    /** It has begun or its result is in place already. */
    data object Accepted : OrderOutcome

    /** The instance refused it, and it has no effect. */
    data class Refused(val reason: String) : OrderOutcome

    /** The instance has seen a newer planner or a newer epoch. */
    data object Superseded : OrderOutcome

    /** It may have begun, or may begin later. */
    data class Unanswered(val reason: String) : OrderOutcome

    /** It was never sent. */
    data class NotSent(val reason: String) : OrderOutcome
}
