package boragering.gateway

import arrow.core.Either
import boragering.fleet.Instance
import boragering.fleet.InstanceStart
import boragering.fleet.Order

/** What an engine instance answers to an order. */
sealed interface OrderAnswer {
    /** It has begun; the instance counts it. */
    data object Begun : OrderAnswer

    /** Its result is in place already. */
    data object InPlace : OrderAnswer

    /** It does not fit the instance's state, or the instance has begun another number of orders than expected. */
    data class Conflict(val reason: String) : OrderAnswer

    /** The instance has seen a higher fence or a higher epoch. */
    data object Superseded : OrderAnswer

    /** Another instance listens at the address. */
    data object Misdirected : OrderAnswer

    /** There is no answer, though the order may have been received. */
    data class Unanswered(val reason: String) : OrderAnswer

    /** The order was not sent. */
    data class NotSent(val reason: String) : OrderAnswer
}

/**
 * What an engine instance says of itself when asked; [orders] counts those that it has begun since its start.
 *
 * @property instance the instance with its present models and membership; `null` when another one answered.
 */
data class EngineReport(val start: InstanceStart?, val orders: Long, val instance: Instance?)

/** An instance did not answer. */
data class ReportFailure(val reason: String)

/** Port to the engine instances. Implementations bound each call by a timeout of their own. */
interface OrderPort {
    /** Sends [order] of the planner with [fence], valid only if the instance has begun [orders] orders. */
    suspend fun send(instance: Instance, order: Order, fence: Long, orders: Long): OrderAnswer

    /** Asks an instance for its state. */
    suspend fun report(instance: Instance): Either<ReportFailure, EngineReport>
}
