package boragering.fleet

import boragering.core.OrganisationName
import java.util.TreeMap
import java.util.TreeSet
import kotlin.time.Duration

/**
 * The requests that wait for capacity of one service and model, in the order in which they are served: by urgency;
 * callers that have come back and can be answered on time, new ones, callers that have come back too late for that,
 * those that have come sooner than they can have been told to; the organisation with the lowest [rank]; the earliest
 * deadline. Finding the next request takes a time that hardly grows with the organisations that wait, and not with the
 * requests; ranks may be up to 100 ms old ([OrganisationOrder]). Not thread-safe.
 *
 * @param rank what an organisation has had relative to its share at a time of the monotonic clock.
 */
class AdmissionQueue(private val rank: (OrganisationName?, Duration) -> Double) {
    private val classes = TreeMap<Int, OrganisationOrder>()
    private val byWaitEnd = TreeSet(QueuedRequest.BY_WAIT_END)
    private val entries = HashMap<PendingRequest, QueuedRequest>()
    private var nextNumber = 0L

    /** Number of waiting requests. */
    val size: Int get() = entries.size

    /** Adds [request]. */
    fun add(request: PendingRequest) {
        val entry = QueuedRequest(request, nextNumber++)
        entries[request] = entry
        byWaitEnd += entry
        classes.getOrPut(classOf(request.admission)) { OrganisationOrder(rank) }.add(entry)
    }

    /** Removes [request], which may have been served; returns whether it was waiting. */
    fun remove(request: PendingRequest): Boolean {
        val entry = entries.remove(request) ?: return false
        byWaitEnd -= entry
        val key = classOf(request.admission)
        val order = classes.getValue(key)
        order.remove(entry)
        if (order.size == 0) classes.remove(key)
        classes.values.forEach { it.onRankChanged(entry.organisation) }
        return true
    }

    /**
     * The request that is served next at [now] of those for which [eligible] holds; `null` if there is none. [eligible]
     * depends on no more than the urgency, the return and the organisation. Among requests of equal urgency and return,
     * it holds for the organisation with the lowest rank if it holds for any, so that the others are not asked.
     */
    fun next(now: Duration, eligible: (AdmissionRequest) -> Boolean): PendingRequest? =
        classes.values.firstNotNullOfOrNull { order ->
            order.first(now).request.takeIf { eligible(it.admission) }
        }

    /** A request that may no longer wait at [now]; `null` if there is none. */
    fun expired(now: Duration): PendingRequest? =
        byWaitEnd.firstOrNull()?.request?.takeIf { it.admission.waitUntil <= now }

    /** Number of requests that would be served before a request with [admission] that arrives at [now]. */
    fun ahead(admission: AdmissionRequest, now: Duration): Int {
        val key = classOf(admission)
        val before = classes.headMap(key).values.sumOf { it.size }
        return before + (classes[key]?.ahead(admission.organisation, now) ?: 0)
    }

    private fun classOf(admission: AdmissionRequest): Int {
        val place = when {
            admission.returnedInTime -> 0
            // A late answer is worth a third of one on time at most, and takes the same capacity.
            admission.returnedLate -> 2
            // The caller has repeated at once, or its first attempt has arrived late; a gateway cannot tell which.
            admission.caller is CallerAttempt.Premature -> CLASSES_PER_URGENCY - 1
            else -> 1
        }
        return admission.urgency * CLASSES_PER_URGENCY + place
    }

    private companion object {
        const val CLASSES_PER_URGENCY = 4
    }
}
