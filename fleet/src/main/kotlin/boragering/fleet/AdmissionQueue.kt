package boragering.fleet

import boragering.core.OrganisationName
import java.util.TreeMap
import java.util.TreeSet
import kotlin.time.Duration

/**
 * The requests that wait for capacity of one service and model, in the order in which they are served: by urgency;
 * callers that have come back and can be answered on time, new ones, callers that have come back too late for that,
 * those that have come sooner than they can have been told to; the organisation with the lowest [rank]; the earliest
 * deadline. Finding the next request takes a time that grows with the organisations that wait, not with the requests.
 * Not thread-safe.
 *
 * @param rank what an organisation has had relative to its share at a time of the monotonic clock.
 */
class AdmissionQueue(private val rank: (OrganisationName?, Duration) -> Double) {
    private val classes = TreeMap<Int, QueueClass>()
    private val byWaitEnd = TreeSet<Entry>(compareBy({ it.request.admission.waitUntil }, { it.number }))
    private val entries = HashMap<PendingRequest, Entry>()
    private var nextNumber = 0L

    /** Number of waiting requests. */
    val size: Int get() = entries.size

    private class Entry(val request: PendingRequest, val number: Long)

    /** The requests of equal urgency and return, by organisation. */
    private class QueueClass {
        val organisations = HashMap<OrganisationName?, TreeSet<Entry>>()
        var size = 0
    }

    /** Adds [request]. */
    fun add(request: PendingRequest) {
        val entry = Entry(request, nextNumber++)
        entries[request] = entry
        byWaitEnd += entry
        val queueClass = classes.getOrPut(classOf(request.admission)) { QueueClass() }
        queueClass.organisations.getOrPut(request.admission.organisation) { TreeSet(BY_DEADLINE) } += entry
        queueClass.size += 1
    }

    /** Removes [request]; returns whether it was waiting. */
    fun remove(request: PendingRequest): Boolean {
        val entry = entries.remove(request) ?: return false
        byWaitEnd -= entry
        val key = classOf(request.admission)
        val queueClass = classes.getValue(key)
        val organisation = queueClass.organisations.getValue(request.admission.organisation)
        organisation -= entry
        queueClass.size -= 1
        if (organisation.isEmpty()) queueClass.organisations.remove(request.admission.organisation)
        if (queueClass.size == 0) classes.remove(key)
        return true
    }

    /**
     * The request that is served next at [now] of those for which [eligible] holds, which depends on no more than the
     * urgency, the return and the organisation; `null` if there is none.
     */
    fun next(now: Duration, eligible: (AdmissionRequest) -> Boolean): PendingRequest? =
        classes.values.firstNotNullOfOrNull { queueClass ->
            queueClass.organisations.entries
                .filter { (_, waiting) -> eligible(waiting.first().request.admission) }
                .minByOrNull { (name, _) -> rank(name, now) }
                ?.value?.first()?.request
        }

    /** A request that may no longer wait at [now]; `null` if there is none. */
    fun expired(now: Duration): PendingRequest? =
        byWaitEnd.firstOrNull()?.request?.takeIf { it.admission.waitUntil <= now }

    /** Number of requests that would be served before a request with [admission] that arrives at [now]. */
    fun ahead(admission: AdmissionRequest, now: Duration): Int {
        val key = classOf(admission)
        val before = classes.headMap(key).values.sumOf { it.size }
        val same = classes[key]?.organisations ?: return before
        val ownWaiting = same[admission.organisation]?.size ?: 0
        val ownRank = rank(admission.organisation, now)
        val others = same.entries.filter { it.key != admission.organisation }.sumOf { (name, waiting) ->
            // Organisations alternate, except that one with a lower rank is served until it has had as much.
            if (rank(name, now) < ownRank) waiting.size else minOf(waiting.size, ownWaiting)
        }
        return before + ownWaiting + others
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
        val BY_DEADLINE = compareBy<Entry>({ it.request.admission.deadline }, { it.number })
    }
}
