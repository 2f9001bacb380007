package boragering.gateway

import arrow.core.Either
import boragering.fleet.Instance
import boragering.fleet.InstanceStart
import boragering.fleet.Order

/** The answer of an engine instance to an order. */
sealed interface OrderAnswer {
    /** The instance has begun to execute the order and counts it. */
    data object Begun : OrderAnswer

    /** The instance already is in the state that the order demands. */
    data object InPlace : OrderAnswer

    /** The order conflicts with the instance's state, or the instance has begun another number of orders. */
    data class Conflict(val reason: String) : OrderAnswer

    /** The instance has seen a higher fencing token or a higher epoch. */
    data object Superseded : OrderAnswer

    /** Another instance listens at the address. */
    data object Misdirected : OrderAnswer

    /** There was no answer; the instance may have received the order. */
    data class Unanswered(val reason: String) : OrderAnswer

    /** The order was not sent. */
    data class NotSent(val reason: String) : OrderAnswer
}

/**
 * The state that an engine instance reports; [orders] is the number of orders that it has begun since its start.
 *
 * @property busy whether the instance is executing an order.
 * @property instance the instance with its current models and membership; `null` if another instance answered.
 */
data class EngineReport(
    val start: InstanceStart?,
    val orders: Long,
    val instance: Instance?,
    val busy: Boolean = false,
)

/** The reason why an instance did not report its state. */
data class ReportFailure(val reason: String)

/** Port to the engine instances. Implementations limit each call by their own timeout. */
interface OrderPort {
    /** Sends [order] with the planner's fencing token [fence]; valid only if the instance has begun [orders] orders. */
    suspend fun send(instance: Instance, order: Order, fence: Long, orders: Long): OrderAnswer

    /** Requests the state of [instance]. */
    suspend fun report(instance: Instance): Either<ReportFailure, EngineReport>
}
