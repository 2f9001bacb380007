package boragering.core.requests

import arrow.core.left
import boragering.core.Outcome
import boragering.core.Problem
import boragering.core.groups.HealthSettings
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Decides which requests of one entry may wait for a slot. Not thread-safe. */
internal class AdmissionPolicy(
    private val ports: RequestPorts,
    private val queue: WaitQueue,
    private val lengths: RequestLengthPredictor,
    private val targets: EntryTargets,
) {
    private val waitEstimator = WaitEstimator(ports.clock, queue, lengths, targets)

    /** This daemon's share of a system-wide [limit], rounded up: the limit divided by the number of live daemons. */
    fun daemonShare(limit: Int): Int =
        ceil(limit.toDouble() / ports.peers.live.size.coerceAtLeast(1)).toInt()

    /**
     * The fraction of all slots that this daemon's long requests may use. The daemons that hold a group divide the long
     * requests' fraction among themselves.
     */
    fun longRequestShare(now: Duration): Double =
        lengths.longRequestShare(now) / ports.peers.live.size.coerceIn(1, HealthSettings.DEFAULT_HOLDERS)

    /**
     * Returns why [waiter] cannot wait, or `null` if it can. If the queue is full, another waiting request may be
     * dropped to make room for it.
     */
    fun rejection(waiter: Waiter, running: Collection<Slot>): Problem? {
        val limits = waiter.plan.entry.limits
        val wait = expectedWait(waiter, running)
        val remaining = waiter.plan.deadlineAt - ports.clock.monotonic()
        val needed = if (wait > Duration.ZERO) wait + lengths.expectedSeconds(waiter.long).seconds else wait
        val full = queue.size >= daemonShare(limits.queueLength)
        val victim = if (full) queue.victim(waiter) else null
        return when {
            wait > limits.queueTime -> Problems.overloaded("the expected wait is $wait", wait - limits.queueTime)
            needed > remaining -> Problems.overloaded("the deadline cannot be met", needed - remaining)
            victim != null -> null.also { shed(victim, running) }
            full -> Problems.overloaded("the queue is full", wait)
            else -> null
        }
    }

    /** Returns the problem for [waiter], whose maximum waiting time has passed. */
    fun timeoutProblem(waiter: Waiter, running: Collection<Slot>): Problem = when {
        waiter.plan.deadlineAt <= ports.clock.monotonic() ->
            Problems.deadlineExceeded("the deadline passed in the queue", Outcome.NOT_RUN)
        !targets.hasTargets -> Problems.noTarget(waiter.plan.entry.name)
        else -> Problems.overloaded("no slot became free within the queue time", expectedWait(waiter, running))
    }

    private fun shed(victim: Waiter, running: Collection<Slot>) {
        queue.remove(victim)
        val detail = "the queue is full, and another request is more urgent or of an organisation with fewer requests"
        victim.decision.complete(Problems.overloaded(detail, expectedWait(victim, running)).left())
    }

    private fun expectedWait(waiter: Waiter, running: Collection<Slot>): Duration {
        val limit = daemonShare(waiter.plan.entry.limits.concurrency)
        return waitEstimator.estimate(waiter, running, limit, longRequestShare(ports.clock.monotonic()))
    }
}
