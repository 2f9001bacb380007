package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Decides whether an order has to be sent or repeated at [now]. */
internal class OrderTiming(private val now: Duration) {
    /**
     * Whether [order] has to be sent, given the [last] order that was sent to the instance. This is the case if [last]
     * was a different order, if it failed or got no answer and was sent more than [RETRY_INTERVAL] ago, or if it was
     * accepted but sent more than [effectTimeout] ago. Callers ask only while the order has not taken effect.
     */
    fun due(last: SentOrder?, order: Order, effectTimeout: Duration = LIST_UPDATE_TIMEOUT): Boolean {
        if (last == null || last.order != order) return true
        val age = now - last.at
        return when (last.outcome) {
            null -> false
            OrderOutcome.Accepted -> age > effectTimeout
            OrderOutcome.Superseded -> false
            OrderOutcome.Busy,
            is OrderOutcome.Refused,
            is OrderOutcome.NotSent,
            is OrderOutcome.Unanswered,
            -> age > RETRY_INTERVAL
        }
    }

    /** Timeouts for orders. */
    companion object {
        /** Time within which the list shows the effect of an accepted order. */
        val LIST_UPDATE_TIMEOUT = 3.seconds
        private val RETRY_INTERVAL = 400.milliseconds
    }
}
