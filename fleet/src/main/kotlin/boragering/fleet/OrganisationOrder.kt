package boragering.fleet

import boragering.core.OrganisationName
import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Organisations with waiting requests, in the order of their [rank] at a time of the monotonic clock, lowest first.
 *
 * The ranks of all organisations change slowly unless they are served. They are therefore computed again for an
 * organisation whose requests have changed, and for all every 100 ms: with 1,000 organisations, ranks for each request
 * would take longer than all other steps of its admission. Not thread-safe.
 */
internal class OrganisationOrder(private val rank: (OrganisationName?, Duration) -> Double) {
    private val organisations = HashMap<OrganisationName?, Waiting>()
    private val order = TreeSet<Waiting>(compareBy({ it.rank }, { it.number }))
    private val outdated = LinkedHashSet<Waiting>()
    private var rankedAt = -RANKING_INTERVAL
    private var nextNumber = 0L

    /** The requests of one organisation. Its [rank] changes only while it is not in [order]. */
    private class Waiting(val name: OrganisationName?, val number: Long) {
        val requests = TreeSet(QueuedRequest.BY_DEADLINE)
        var rank = 0.0
    }

    /** Number of waiting requests. */
    var size = 0
        private set

    /** Adds [request]. */
    fun add(request: QueuedRequest) {
        val waiting = organisations.getOrPut(request.organisation) { Waiting(request.organisation, nextNumber++) }
        if (waiting.requests.isEmpty()) outdated += waiting
        waiting.requests += request
        size += 1
    }

    /** Removes [request], which waits. */
    fun remove(request: QueuedRequest) {
        val waiting = organisations.getValue(request.organisation)
        waiting.requests -= request
        size -= 1
        if (waiting.requests.isNotEmpty()) return
        organisations.remove(request.organisation)
        order -= waiting
        outdated -= waiting
    }

    /** Has the rank of [organisation] computed again, because one of its requests has left the queue. */
    fun onRankChanged(organisation: OrganisationName?) {
        organisations[organisation]?.let(outdated::add)
    }

    /** The request with the earliest deadline of the organisation with the lowest rank at [now]. */
    fun first(now: Duration): QueuedRequest {
        update(now)
        return order.first().requests.first()
    }

    /** Number of requests that would be served before a further request of [organisation] that arrives at [now]. */
    fun ahead(organisation: OrganisationName?, now: Duration): Int {
        update(now)
        val own = organisations[organisation]
        val ownWaiting = own?.requests?.size ?: 0
        val ownRank = rank(organisation, now)
        // Organisations alternate, except that one with a lower rank is served until it has had as much.
        val others = order.sumOf {
            when {
                it === own -> 0
                it.rank < ownRank -> it.requests.size
                else -> minOf(it.requests.size, ownWaiting)
            }
        }
        return ownWaiting + others
    }

    private fun update(now: Duration) {
        if (now - rankedAt >= RANKING_INTERVAL) {
            order.clear()
            outdated += organisations.values
            rankedAt = now
        }
        order -= outdated
        outdated.forEach { it.rank = rank(it.name, now) }
        order += outdated
        outdated.clear()
    }

    private companion object {
        /** Within this time, the counts that decay over 10 s change by a hundredth. */
        val RANKING_INTERVAL = 100.milliseconds
    }
}
