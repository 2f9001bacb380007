package boragering.core

import arrow.core.left
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Decides which requests of one entry may wait. Not safe for several threads. */
internal class AdmissionPolicy(
    private val ports: RequestPorts,
    private val queue: WaitQueue,
    private val lengths: RequestLengths,
    private val targets: EntryTargets,
) {
    /** This daemon's share of a limit for the whole system. */
    fun share(limit: Int): Int =
        ceil(limit.toDouble() / ports.peers.live.size.coerceAtLeast(1)).toInt()

    /** Why [waiter] cannot wait; `null` when it can, possibly because another request gave way to it. */
    fun refusal(waiter: Waiter, inFlight: Int): Problem? {
        val limits = waiter.plan.entry.limits
        val wait = expectedWait(waiter, inFlight)
        val remaining = waiter.plan.deadlineAt - ports.clock.monotonic()
        val full = queue.size >= share(limits.queueLength)
        val victim = if (full) queue.victim(waiter) else null
        return when {
            wait > limits.queueTime -> Problems.overloaded("the expected wait is $wait", wait - limits.queueTime)
            wait > remaining -> Problems.overloaded("the deadline cannot be met", wait - remaining)
            victim != null -> null.also { shed(victim, inFlight) }
            full -> Problems.overloaded("the queue is full", wait)
            else -> null
        }
    }

    private fun shed(victim: Waiter, inFlight: Int) {
        queue.remove(victim)
        val detail = "the request gave way to one that is more urgent or of an organisation with fewer requests"
        victim.grant.complete(Problems.overloaded(detail, expectedWait(victim, inFlight)).left())
    }

    /** Time until [waiter] gets a slot if it is queued now, as far as durations are known. */
    private fun expectedWait(waiter: Waiter, inFlight: Int): Duration {
        val slots = minOf(share(waiter.plan.entry.limits.concurrency).toDouble(), targets.capacity)
        val ahead = queue.ahead(waiter)
        val duration = lengths.meanDuration(ports.clock.monotonic())
        return when {
            duration == null || slots < 1 || inFlight + ahead < slots -> Duration.ZERO
            else -> ((ahead + 1) * duration / slots).seconds
        }
    }

    /** Why [waiter], which waited for as long as it may, is given up. */
    fun expired(waiter: Waiter, inFlight: Int): Problem = when {
        waiter.plan.deadlineAt <= ports.clock.monotonic() ->
            Problems.deadlineExceeded("the deadline passed in the queue", Outcome.NOT_RUN)
        !targets.present -> Problems.noTarget(waiter.plan.entry.name)
        else -> Problems.overloaded("no slot became free in the queue time", expectedWait(waiter, inFlight))
    }
}
