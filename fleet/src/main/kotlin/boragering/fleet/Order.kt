package boragering.fleet

import boragering.core.InstanceId
import kotlinx.collections.immutable.PersistentList

/** An order from a planner to one instance. An order about a group and epoch affects no other membership. */
sealed interface Order {
    /** The group that the order refers to; `null` if it refers to none. */
    val group: GroupEpoch?

    /** Join [group], whose head is the first of [members]. This replaces any earlier membership. */
    data class Join(
        override val group: GroupEpoch,
        val model: ModelName,
        val members: PersistentList<InstanceId>,
    ) : Order

    /** Start to accept requests as the head of [group]. */
    data class Open(override val group: GroupEpoch) : Order

    /** Accept no more requests as the head of [group], and finish the running ones. */
    data class Close(override val group: GroupEpoch) : Order

    /** Leave [group] immediately and abort all its work. */
    data class Leave(override val group: GroupEpoch) : Order

    /** Copy the weights of [model] from the weight store to the host. */
    data class Stage(val model: ModelName) : Order {
        override val group: GroupEpoch? get() = null
    }
}

/** An order and the instance to which it is sent. */
data class AddressedOrder(val instance: Instance, val order: Order)

/** The outcome of an order. */
sealed interface OrderOutcome {
    /** The instance has begun to execute the order, or its effect is already in place. */
    data object Accepted : OrderOutcome

    /** The instance refused the order, which has no effect. */
    data class Refused(val reason: String) : OrderOutcome

    /** The instance still executes an order of an earlier planner. The new one was not sent. */
    data object Busy : OrderOutcome

    /** The instance has seen a newer planner or a newer epoch. */
    data object Superseded : OrderOutcome

    /** No answer arrived. The instance may have executed the order or may still execute it later. */
    data class Unanswered(val reason: String) : OrderOutcome

    /** The order was never sent. */
    data class NotSent(val reason: String) : OrderOutcome
}
