package boragering.core.groups

import boragering.core.Clock
import boragering.core.InstanceClient
import boragering.core.InstanceId
import boragering.core.Order
import boragering.core.TargetFailure
import boragering.core.timeline.Timeline
import boragering.core.timeline.TimelineEntry
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Sends the orders of one domain. An order is sent only within [MAX_CONFIRMATION_AGE] of the time at which the store
 * was known to hold the division that the order is derived from. The same order is sent to the same instance again only
 * after [RESEND_INTERVAL].
 */
internal class OrderSender(
    private val targets: InstanceClient,
    private val clock: Clock,
    private val timeline: Timeline,
) {
    private val lastOrders = HashMap<InstanceId, SentOrder>()
    private val permits = Semaphore(MAX_CONCURRENT_SENDS)
    private val refusals = ConcurrentHashMap<InstanceId, GroupKey>()

    /** The groups and fencing numbers for which instances refused the last order as stale. */
    val refused: Map<InstanceId, GroupKey> get() = refusals.toMap()

    /** Returns those of [orders] that do not repeat an order sent within [RESEND_INTERVAL]. */
    fun due(orders: List<InstanceOrder>): List<InstanceOrder> {
        val now = clock.monotonic()
        lastOrders.values.removeIf { now - it.at >= RESEND_INTERVAL }
        return orders.filterNot { lastOrders[it.instance]?.order?.isRepeatedBy(it.order) ?: false }
    }

    /** Sends [orders], which follow from a division that the store held at [confirmedAt]. */
    suspend fun send(orders: List<InstanceOrder>, confirmedAt: Duration) = coroutineScope {
        val now = clock.monotonic()
        orders.forEach { lastOrders[it.instance] = SentOrder(it.order, now) }
        orders.forEach { launch { permits.withPermit { sendOne(it, confirmedAt) } } }
    }

    private suspend fun sendOne(order: InstanceOrder, confirmedAt: Duration) {
        if (clock.monotonic() - confirmedAt > MAX_CONFIRMATION_AGE) return
        val result = withTimeoutOrNull(SEND_TIMEOUT) { targets.order(order.address, order.order) }
        val stale = (result?.leftOrNull() as? TargetFailure.Refused)?.status == STALE_ORDER_STATUS
        if (stale) refusals[order.instance] = GroupKey(order.order.group, order.order.fence)
        if (result?.isRight() == true) refusals.remove(order.instance)
        val outcome = result?.fold({ "failed: ${it.reason}" }, { "accepted" }) ?: "not answered"
        val text = "${order.order.name()} with fencing number ${order.order.fence} $outcome"
        timeline.record(TimelineEntry("order", text, group = order.order.group, instance = order.instance))
    }

    private fun Order.name() = when (this) {
        is Order.Load -> "load"
        is Order.Release -> "release"
    }

    /**
     * Whether [other] is the same order. Releases of the same group are the same order although their fencing numbers
     * differ, because each release carries the newest version of the division.
     */
    private fun Order.isRepeatedBy(other: Order): Boolean = when (this) {
        is Order.Load -> this == other
        is Order.Release -> other is Order.Release && group == other.group
    }

    private class SentOrder(val order: Order, val at: Duration)

    private companion object {
        val MAX_CONFIRMATION_AGE = 2.seconds
        val RESEND_INTERVAL = 3.seconds
        val SEND_TIMEOUT = 1.seconds
        const val MAX_CONCURRENT_SENDS = 64
        const val STALE_ORDER_STATUS = 409
    }
}
