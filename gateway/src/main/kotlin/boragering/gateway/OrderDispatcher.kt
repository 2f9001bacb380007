package boragering.gateway

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import boragering.fleet.AddressedOrder
import boragering.fleet.InstanceStart
import boragering.fleet.Order
import boragering.fleet.OrderOutcome

/**
 * Sends the orders of one planner. Each order carries the number of orders that the instance has begun, so that an
 * order that is sent twice is executed only once, even if the first copy arrives late. Used on the event loop only.
 */
internal class OrderDispatcher(private val port: OrderPort, private val fence: Long, private val log: DecisionLog) {
    /** Number of orders that an instance has begun; [other] is the number in case it did not count the last order. */
    private class Count(val value: Long, val other: Long? = null)

    private val counts = HashMap<InstanceStart, Count>()

    /** Sends [addressed] and returns the outcome. */
    suspend fun send(addressed: AddressedOrder): OrderOutcome {
        val instance = addressed.instance
        val count = counts[instance.start] ?: count(addressed).getOrElse { return it.logged(addressed) }
        var expected = count.value
        var answer = port.send(instance, addressed.order, fence, expected)
        if (answer is OrderAnswer.Conflict && count.other != null) {
            expected = count.other
            answer = port.send(instance, addressed.order, fence, expected)
        }
        remember(addressed, answer, expected)
        return outcome(answer).logged(addressed)
    }

    /** Remembers the number of orders, because reports lag and may not count an order that was answered just before. */
    private fun remember(addressed: AddressedOrder, answer: OrderAnswer, expected: Long) {
        val start = addressed.instance.start
        val certain = addressed.order is Order.Join || addressed.order is Order.Stage
        when {
            answer == OrderAnswer.Begun && certain -> counts[start] = Count(expected + 1)
            // Instances differ in whether they count orders that open, close or leave a group.
            answer == OrderAnswer.Begun || answer == OrderAnswer.InPlace ->
                counts[start] = Count(expected + 1, other = expected)
            else -> counts.remove(start)
        }
    }

    private suspend fun count(addressed: AddressedOrder): Either<OrderOutcome, Count> =
        port.report(addressed.instance).fold(
            { OrderOutcome.NotSent("no report: ${it.reason}").left() },
            { report -> count(addressed, report) },
        )

    /** An instance that still loads weights for an earlier planner gets no order for another load. */
    private fun count(addressed: AddressedOrder, report: EngineReport): Either<OrderOutcome, Count> = when {
        report.start != null && report.start != addressed.instance.start ->
            OrderOutcome.NotSent("the address belongs to ${report.start}").left()
        report.busy && addressed.order is Order.Stage -> OrderOutcome.Busy.left()
        else -> Count(report.orders).right()
    }

    private fun outcome(answer: OrderAnswer): OrderOutcome = when (answer) {
        OrderAnswer.Begun, OrderAnswer.InPlace -> OrderOutcome.Accepted
        is OrderAnswer.Conflict -> OrderOutcome.Refused(answer.reason)
        OrderAnswer.Superseded -> OrderOutcome.Superseded
        OrderAnswer.Misdirected -> OrderOutcome.Refused("another instance has the address")
        is OrderAnswer.Unanswered -> OrderOutcome.Unanswered(answer.reason)
        is OrderAnswer.NotSent -> OrderOutcome.NotSent(answer.reason)
    }

    private fun OrderOutcome.logged(addressed: AddressedOrder): OrderOutcome {
        log.event("order", "instance" to addressed.instance.start, "order" to addressed.order, "outcome" to this)
        return this
    }
}
