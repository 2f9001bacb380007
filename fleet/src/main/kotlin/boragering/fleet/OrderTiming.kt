package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Decides whether an order has to be sent, or sent once more, at [now]. */
internal class OrderTiming(private val now: Duration) {
    /**
     * Whether [order] has to be sent after [last]: it was not the last one, or it failed, or it had no effect within
     * [effectTimeout].
     */
    fun due(last: SentOrder?, order: Order, effectTimeout: Duration = LIST_UPDATE_TIMEOUT): Boolean {
        if (last == null || last.order != order) return true
        val age = now - last.at
        return when (last.outcome) {
            null -> false
            OrderOutcome.Accepted -> age > effectTimeout
            OrderOutcome.Superseded -> false
            is OrderOutcome.Refused, is OrderOutcome.NotSent, is OrderOutcome.Unanswered -> age > RETRY_INTERVAL
        }
    }

    /** Constants of the sending of orders. */
    companion object {
        /** Time within which the list shows what an accepted order changed. */
        val LIST_UPDATE_TIMEOUT = 3.seconds
        private val RETRY_INTERVAL = 400.milliseconds
    }
}
