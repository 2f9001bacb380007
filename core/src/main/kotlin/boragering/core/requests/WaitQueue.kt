package boragering.core.requests

import arrow.core.Either
import boragering.core.GroupId
import boragering.core.OrganisationName
import boragering.core.Problem
import boragering.core.catalogue.Urgency
import kotlinx.coroutines.CompletableDeferred
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A request that waits for a slot. [cost] is its expected service time, by which fair queueing weights it. */
internal class Waiter(val plan: RequestPlan, val long: Boolean, val cost: Double, val avoidedGroups: Set<GroupId>) {
    val decision = CompletableDeferred<Either<Problem, Slot>>()

    /** The granted slot, guarded by the entry's lock. */
    var slot: Slot? = null
    val retry: Boolean get() = avoidedGroups.isNotEmpty()
}

/**
 * The requests of one entry that wait for a slot, ordered by urgency, then by weighted fair queueing between
 * organisations. Not thread-safe.
 */
internal class WaitQueue {
    private val levels = Urgency.entries.sortedDescending().associateWith { UrgencyLevel() }

    /** Number of waiting requests. */
    val size: Int get() = levels.values.sumOf { it.size }

    /** Adds [waiter]. A retry is placed before its organisation's other requests, because it has already waited. */
    fun add(waiter: Waiter) = level(waiter).add(waiter)

    /** Removes [waiter]. Returns `false` if it is not in the queue. */
    fun remove(waiter: Waiter): Boolean = level(waiter).remove(waiter)

    /**
     * Removes requests in order while [place] accepts them. After a long request is not accepted, only short requests
     * are tried. After a short request is not accepted, no more requests are tried.
     */
    fun takeWhile(place: (Waiter) -> Boolean) {
        var longBlocked = false
        var blocked = false
        for (level in levels.values) {
            while (!blocked) {
                val next = level.next(longBlocked) ?: break
                when {
                    place(next) -> level.served(next)
                    next.long -> longBlocked = true
                    else -> blocked = true
                }
            }
        }
    }

    /**
     * Returns the request to drop so that [arriving] can wait, or `null` if [arriving] itself should be rejected. The
     * request is chosen from the lowest urgency with waiting requests. Within it, the newest request of the
     * organisation with the most requests relative to its weight is dropped.
     */
    fun victim(arriving: Waiter): Waiter? {
        val lowest = levels.entries.last { (urgency, level) -> level.size > 0 || urgency == arriving.plan.urgency }
        val lower = lowest.key < arriving.plan.urgency
        return if (lower) lowest.value.newestOfLargestShare() else lowest.value.victim(arriving)
    }

    /**
     * Number of requests that are served before [arriving] if it is added now. If [long] is given, only the long or
     * only the short requests count.
     */
    fun ahead(arriving: Waiter, long: Boolean?): Int = levels.entries.sumOf { (urgency, level) ->
        when {
            urgency > arriving.plan.urgency -> level.count(long)
            urgency == arriving.plan.urgency -> level.ahead(arriving, long)
            else -> 0
        }
    }

    private fun level(waiter: Waiter): UrgencyLevel = levels.getValue(waiter.plan.urgency)

    /** The waiting requests of one urgency. [virtualTime] is the virtual finish time of the last served request. */
    private class UrgencyLevel {
        private val flows = LinkedHashMap<OrganisationName, OrganisationQueue>()
        private var virtualTime = 0.0
        var size = 0
            private set

        fun add(waiter: Waiter) {
            val flow = flows.getOrPut(waiter.plan.request.organisation) { OrganisationQueue() }
            if (flow.size == 0) flow.virtualTime = maxOf(flow.virtualTime, virtualTime)
            flow.weight = waiter.plan.weight
            if (waiter.retry) flow.queueFor(waiter).addFirst(waiter) else flow.queueFor(waiter).addLast(waiter)
            size++
        }

        fun remove(waiter: Waiter): Boolean {
            val removed = flows[waiter.plan.request.organisation]?.queueFor(waiter)?.remove(waiter) ?: false
            if (removed) size--
            return removed
        }

        fun next(onlyShort: Boolean): Waiter? = flows.values
            .mapNotNull { flow -> flow.head(onlyShort)?.let { it to flow.finishTime(it) } }
            .minByOrNull { (_, finish) -> finish }?.first

        fun served(waiter: Waiter) {
            val flow = flows.getValue(waiter.plan.request.organisation)
            remove(waiter)
            // The cost of a retry was already charged to its organisation when the request was first served.
            if (!waiter.retry) flow.virtualTime = flow.finishTime(waiter)
            virtualTime = maxOf(virtualTime, flow.virtualTime)
            flows.values.removeAll { it.size == 0 && it.virtualTime <= virtualTime }
        }

        fun newestOfLargestShare(): Waiter? = flows.values.maxByOrNull { it.share }?.newest()

        fun victim(arriving: Waiter): Waiter? {
            val own = arriving.plan.request.organisation
            val ownShare = ((flows[own]?.size ?: 0) + 1.0) / arriving.plan.weight
            val largest = flows.filterKeys { it != own }.values.maxByOrNull { it.share }
            return largest?.takeIf { it.share > ownShare }?.newest()
        }

        fun count(long: Boolean?): Int = flows.values.sumOf { it.count(long) }

        fun ahead(arriving: Waiter, long: Boolean?): Int {
            val own = arriving.plan.request.organisation
            val position = flows[own]?.count(long) ?: 0
            return position + flows.filterKeys { it != own }.values.sumOf { flow ->
                minOf(flow.count(long), (position + 1) * flow.weight / arriving.plan.weight)
            }
        }
    }

    /**
     * The waiting requests of one organisation. [virtualTime] is the virtual finish time of the last served request.
     */
    private class OrganisationQueue {
        private val short = ArrayDeque<Waiter>()
        private val long = ArrayDeque<Waiter>()
        var virtualTime = 0.0
        var weight = 1
        val size: Int get() = short.size + long.size
        val share: Double get() = size.toDouble() / weight

        fun count(onlyLong: Boolean?): Int = when (onlyLong) {
            null -> size
            true -> long.size
            false -> short.size
        }

        fun queueFor(waiter: Waiter): ArrayDeque<Waiter> = if (waiter.long) long else short

        fun finishTime(waiter: Waiter): Double = virtualTime + waiter.cost / weight

        fun head(onlyShort: Boolean): Waiter? =
            listOfNotNull(short.firstOrNull(), long.firstOrNull().takeUnless { onlyShort }).minByOrNull(::orderingTime)

        fun newest(): Waiter? = listOfNotNull(short.lastOrNull(), long.lastOrNull()).maxByOrNull { it.plan.arrivedAt }

        /**
         * The time by which the first long and the first short request are ordered. A request with a long service time
         * can wait longer, but not so long that it times out.
         */
        private fun orderingTime(waiter: Waiter): Duration =
            waiter.plan.arrivedAt + minOf(waiter.cost.seconds, waiter.plan.entry.limits.queueTime / 2)
    }
}
