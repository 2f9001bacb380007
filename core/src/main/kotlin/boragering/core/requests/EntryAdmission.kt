package boragering.core.requests

import arrow.core.Either
import arrow.core.left
import boragering.core.Candidate
import boragering.core.EntryName
import boragering.core.GroupId
import boragering.core.Problem
import boragering.core.ThreadSafeRandom
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/** Dependencies shared by the admission of all entries. */
internal data class AdmissionContext(
    val ports: RequestPorts,
    val random: ThreadSafeRandom,
    val selection: ReplicaSelection,
)

/** Numbers of one entry's queued and running requests on this daemon. */
data class AdmissionCounts(val queued: Int, val inFlight: Int)

/** Admits one entry's requests: rate limits, queue and slots, guarded by one lock. Thread-safe. */
internal class EntryAdmission(private val context: AdmissionContext) {
    private val lock = Any()
    private val state = EntryState(context)

    val counts: AdmissionCounts get() = synchronized(lock) { state.counts }

    /** Takes a token from the organisation's rate limit. Returns a problem if no token is left, otherwise `null`. */
    fun checkRateLimit(plan: RequestPlan): Problem? = synchronized(lock) { state.checkRateLimit(plan) }

    /**
     * Waits for a slot. A retry names targets to avoid in [avoidedGroups] and is not rejected because of its expected
     * wait.
     */
    suspend fun acquire(plan: RequestPlan, avoidedGroups: Set<GroupId>): Either<Problem, Slot> {
        val candidates = context.ports.directory.candidates(plan.entry.name)
        val waiter = synchronized(lock) {
            state.updateTargets(candidates)
            state.enqueue(plan, avoidedGroups)
        }
        return waiter.fold({ it.left() }) { awaitSlot(it) }
    }

    /** Grants the free slots to waiting requests. */
    fun dispatch(entry: EntryName) {
        if (counts.queued == 0) return
        val candidates = context.ports.directory.candidates(entry)
        synchronized(lock) {
            state.updateTargets(candidates)
            state.grantSlots()
        }
    }

    /** Releases a slot, and grants the free slots to waiting requests. */
    fun release(slot: Slot, end: AttemptEnd) {
        val ejected = synchronized(lock) { state.release(slot, end) }
        if (ejected) context.ports.metrics.ejected(slot.plan.entry.name, slot.candidate.group)
        dispatch(slot.plan.entry.name)
    }

    /** Reclassifies a running request as long once the [length] of its answer shows it. */
    fun updateLength(slot: Slot, length: Int) {
        if (!slot.long) synchronized(lock) { state.updateLength(slot, length) }
    }

    private suspend fun awaitSlot(waiter: Waiter): Either<Problem, Slot> {
        val waitingSince = context.ports.clock.monotonic()
        val timeout = minOf(waiter.plan.deadlineAt - waitingSince, waiter.plan.entry.limits.queueTime)
        var result: Either<Problem, Slot>? = null
        try {
            result = withTimeoutOrNull(timeout) { waiter.decision.await() } ?: expire(waiter)
        } finally {
            if (result == null) abandon(waiter)
        }
        val answer = checkNotNull(result)
        answer.onRight { reportAdmitted(waiter, waitingSince) }
        return answer
    }

    private fun reportAdmitted(waiter: Waiter, waitingSince: Duration) =
        context.ports.metrics.admitted(waiter.plan.entry.name, context.ports.clock.monotonic() - waitingSince)

    /** Handles the timeout of [waiter]: uses a slot that was granted at the last moment, or returns a problem. */
    private suspend fun expire(waiter: Waiter): Either<Problem, Slot> {
        val problem = synchronized(lock) { state.expire(waiter) }
        return problem?.left() ?: waiter.decision.await()
    }

    /**
     * Handles the cancellation of [waiter]: removes it from the queue, or releases a slot that was granted meanwhile.
     */
    private fun abandon(waiter: Waiter) {
        val granted = synchronized(lock) { if (state.remove(waiter)) null else waiter.slot }
        granted?.let { release(it, AttemptEnd.Neutral) }
    }
}

/** Permission to send one request to [candidate], granted at the monotonic time [startedAt]. */
internal class Slot(
    val plan: RequestPlan,
    val candidate: Candidate,
    val startedAt: Duration,
    @Volatile var long: Boolean,
)
