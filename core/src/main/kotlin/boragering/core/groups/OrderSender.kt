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
 * Sends the orders of one domain. An order is sent only within [ORDER_LIMIT] of the time at which the store was known
 * to hold the division that it follows from; the same order is repeated to the same instance only after a pause.
 */
internal class OrderSender(
    private val targets: InstanceClient,
    private val clock: Clock,
    private val timeline: Timeline,
) {
    private val last = HashMap<InstanceId, SentOrder>()
    private val permits = Semaphore(AT_ONCE)
    private val refusals = ConcurrentHashMap<InstanceId, GroupKey>()

    /** The groups and fencing numbers for which instances refused the last order as stale. */
    val refused: Map<InstanceId, GroupKey> get() = refusals.toMap()

    /** Those of [orders] that may be sent now. */
    fun due(orders: List<InstanceOrder>): List<InstanceOrder> {
        val now = clock.monotonic()
        last.values.removeIf { now - it.at >= REPEAT_PAUSE }
        return orders.filterNot { last[it.instance]?.order?.repeats(it.order) ?: false }
    }

    /** Sends [orders], which follow from a division that the store held at [confirmedAt]. */
    suspend fun send(orders: List<InstanceOrder>, confirmedAt: Duration) = coroutineScope {
        val now = clock.monotonic()
        orders.forEach { last[it.instance] = SentOrder(it.order, now) }
        orders.forEach { launch { permits.withPermit { sendOne(it, confirmedAt) } } }
    }

    private suspend fun sendOne(order: InstanceOrder, confirmedAt: Duration) {
        if (clock.monotonic() - confirmedAt > ORDER_LIMIT) return
        val result = withTimeoutOrNull(TIMEOUT) { targets.order(order.address, order.order) }
        val stale = (result?.leftOrNull() as? TargetFailure.Refused)?.status == STALE
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

    /** A release carries the newest version of the division, which does not make it another order. */
    private fun Order.repeats(other: Order): Boolean = when (this) {
        is Order.Load -> this == other
        is Order.Release -> other is Order.Release && group == other.group
    }

    private class SentOrder(val order: Order, val at: Duration)

    private companion object {
        val ORDER_LIMIT = 2.seconds
        val REPEAT_PAUSE = 3.seconds
        val TIMEOUT = 1.seconds
        const val AT_ONCE = 64
        const val STALE = 409
    }
}
