package boragering.fleet

import kotlin.random.Random
import kotlin.time.Duration

/**
 * Decides for the requests of one service and model which are sent, wait or are rejected when capacity is short. Has no
 * clock: the caller calls [wake] when capacity may have become free, and every few milliseconds while requests wait.
 * Times are of the monotonic clock. Not thread-safe.
 */
class AdmissionLane(random: Random) {
    private var waking = false

    /** What is known of the demand and of the use of the capacity. */
    val demand = CapacityDemand(random)

    /** The callers that were rejected here. */
    val rejectedCallers = RejectedCallers()

    private val queue = AdmissionQueue(demand.shares::rank)

    /** Number of waiting requests. */
    val waiting: Int get() = queue.size

    /** Sends [request], which arrived at [now], lets it wait or rejects it. */
    fun offer(request: PendingRequest, now: Duration) {
        val admission = request.admission
        if (admission.caller == CallerAttempt.First) demand.shares.recordRequest(admission.organisation, now)
        when {
            rejectedOnArrival(admission, now) -> reject(request, RejectionReason.PREMATURE, now)
            queue.size == 0 -> if (send(request, now) == SendResult.FULL) enqueue(request, now)
            else -> {
                enqueue(request, now)
                wake(now)
            }
        }
    }

    /** Removes [request], if it waits, because its caller has left or the gateway stops. */
    fun withdraw(request: PendingRequest) {
        queue.remove(request)
    }

    /** Rejects the requests that may no longer wait at [now], and sends others while there is capacity. */
    fun wake(now: Duration) {
        if (waking) return
        waking = true
        try {
            rejectExpired(now)
            sendWhileCapacity(now)
        } finally {
            waking = false
        }
    }

    private fun rejectExpired(now: Duration) = generateSequence { queue.expired(now) }.forEach {
        queue.remove(it)
        reject(it, RejectionReason.WAITED, now)
    }

    /**
     * Sends waiting requests in their order. One that finds no capacity at its limit does not hold up later ones with a
     * higher limit; those with the same or a lower one are not tried, since each attempt costs a choice of a target.
     */
    private fun sendWhileCapacity(now: Duration) {
        var fullUpTo = Double.NEGATIVE_INFINITY
        while (true) {
            val next = queue.next(now) { demand.occupancyLimit(it, now) > fullUpTo } ?: return
            val limit = demand.occupancyLimit(next.admission, now)
            if (!sendWaiting(next, now)) fullUpTo = limit
        }
    }

    private fun sendWaiting(request: PendingRequest, now: Duration): Boolean {
        val result = send(request, now)
        if (result == SendResult.FULL) return false
        queue.remove(request)
        if (result == SendResult.SENT) request.onDequeued()
        return true
    }

    private fun send(request: PendingRequest, now: Duration): SendResult =
        request.trySend().also { demand.recordResult(it, request.admission, now) }

    /**
     * Whether a request with [admission] is rejected before a target is tried: one that looks repeated too soon while
     * capacity is short, since a caller that repeats at once would otherwise gain by each of its attempts.
     */
    private fun rejectedOnArrival(admission: AdmissionRequest, now: Duration): Boolean =
        admission.caller is CallerAttempt.Premature && (queue.size > 0 || demand.headroom.short(now))

    private fun enqueue(request: PendingRequest, now: Duration) {
        val position = queue.ahead(request.admission, now)
        val expected = demand.expectedWait(position, now)
        if (now + expected >= request.admission.waitUntil || queue.size >= MAX_WAITING) {
            demand.recordShortage(request.admission, now)
            reject(request, RejectionReason.LONG_WAIT, now)
        } else {
            queue.add(request)
            request.onQueued(position, expected)
        }
    }

    private fun reject(request: PendingRequest, reason: RejectionReason, now: Duration) {
        val position = queue.ahead(request.admission, now)
        rejectedCallers.add(request.admission)
        request.reject(demand.rejection(reason, request.admission, position, now))
    }

    private companion object {
        /** Limit of the memory for waiting requests; the limits of their waits are usually reached before. */
        const val MAX_WAITING = 1_000
    }
}
