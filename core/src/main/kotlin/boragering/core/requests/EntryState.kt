package boragering.core.requests

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import boragering.core.Candidate
import boragering.core.GroupId
import boragering.core.OrganisationName
import boragering.core.Problem
import boragering.core.catalogue.RequestLimits
import kotlin.time.Duration

/** Queue, slots and rate limits of one entry. Not thread-safe. */
internal class EntryState(private val context: AdmissionContext) {
    private val queue = WaitQueue()
    private val buckets = HashMap<OrganisationName, TokenBucket>()
    private val lengths = RequestLengthPredictor()
    private val targets = EntryTargets(
        ReplicaSelector(context.selection, context.random),
        confineLong = context.selection == ReplicaSelection.PowerOfTwoChoices,
    )
    private val policy = AdmissionPolicy(context.ports, queue, lengths, targets)
    private val running = LinkedHashSet<Slot>()
    private var limits: RequestLimits? = null

    val counts: AdmissionCounts get() = AdmissionCounts(queue.size, running.size)

    fun checkRateLimit(plan: RequestPlan): Problem? {
        val bucket = buckets.getOrPut(plan.request.organisation) { TokenBucket(now()) }
        return bucket.tryTake(now(), policy.daemonShare(plan.entry.limits.requestsPerSecond))
            ?.let(Problems::rateLimited)
    }

    /** Replaces the list of targets that may receive requests. */
    fun updateTargets(candidates: List<Candidate>) = targets.update(candidates, now())

    /** Queues a request and grants free slots, or returns why the request cannot wait. Retries are always queued. */
    fun enqueue(plan: RequestPlan, avoidedGroups: Set<GroupId>): Either<Problem, Waiter> {
        limits = plan.entry.limits
        val long = lengths.predict(plan)
        val waiter = Waiter(plan, long, lengths.expectedSeconds(long), avoidedGroups)
        if (!waiter.retry) lengths.recordArrival(long, now())
        val problem = if (waiter.retry) null else policy.rejection(waiter, running)
        if (problem != null) return problem.left()
        queue.add(waiter)
        grantSlots()
        return waiter.right()
    }

    /** Grants free slots to waiting requests. */
    fun grantSlots() {
        val now = now()
        val longShare = policy.longRequestShare(now)
        queue.takeWhile { waiter ->
            val allowed = running.size < policy.daemonShare(checkNotNull(limits).concurrency)
            val candidate =
                if (allowed) targets.selectTarget(waiter.long, longShare, waiter.avoidedGroups, now) else null
            candidate?.also { start(waiter, it, now) } != null
        }
    }

    /** Releases a slot. Returns whether its target was ejected. */
    fun release(slot: Slot, end: AttemptEnd): Boolean {
        running.remove(slot)
        if (end is AttemptEnd.Succeeded) lengths.recordFinished(slot.plan, end)
        return targets.recordEnd(slot.candidate, slot.long, end, now())
    }

    fun updateLength(slot: Slot, length: Int) {
        if (!slot.long && lengths.isLong(slot.plan.entry, length)) {
            slot.long = true
            targets.recordBecameLong(slot.candidate)
        }
    }

    /** Removes [waiter] from the queue. Returns `false` if it was already granted a slot or rejected. */
    fun remove(waiter: Waiter): Boolean = queue.remove(waiter)

    /** Removes [waiter] after its timeout. Returns `null` if it was already granted a slot or rejected. */
    fun expire(waiter: Waiter): Problem? = if (queue.remove(waiter)) policy.timeoutProblem(waiter, running) else null

    private fun start(waiter: Waiter, candidate: Candidate, now: Duration) {
        targets.recordStart(candidate, waiter.long, now)
        val slot = Slot(waiter.plan, candidate, now, waiter.long)
        running.add(slot)
        waiter.slot = slot
        waiter.decision.complete(slot.right())
    }

    private fun now(): Duration = context.ports.clock.monotonic()
}
