package boragering.core.requests

import boragering.core.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Estimates how long requests of one entry wait for a slot. Not thread-safe. */
internal class WaitEstimator(
    private val clock: Clock,
    private val queue: WaitQueue,
    private val lengths: RequestLengthPredictor,
    private val targets: EntryTargets,
) {
    /**
     * Estimates the time until [waiter] gets a slot if it is queued now. The requests in [running] hold the entry's
     * slots. At most [limit] requests may run at a time, and long ones may use at most [longRequestShare] of the
     * targets' slots. Returns zero if a slot is free or if service times are unknown.
     */
    fun estimate(waiter: Waiter, running: Collection<Slot>, limit: Int, longRequestShare: Double): Duration {
        val now = clock.monotonic()
        // Once long requests have used up their share, long and short requests wait for different slots.
        val kind = waiter.long.takeIf { targets.longShareExhausted(longRequestShare) }
        val ahead = queue.ahead(waiter, kind)
        val room = ahead == 0 &&
            running.size < limit && targets.targetsWithFreeSlots(waiter.long, longRequestShare, now).isNotEmpty()
        val duration = if (kind == null) lengths.meanSeconds(now) else lengths.observedSeconds(kind)
        val ends = running.filter { kind == null || it.long == kind }.map { remaining(it, now) }.sorted()
        return when {
            room || duration == null || ends.isEmpty() -> Duration.ZERO
            else -> ends[ahead % ends.size] + (ahead / ends.size * duration).seconds
        }
    }

    /**
     * Expected remaining time of a running request. An overdue request is expected to need another half of its expected
     * service time.
     */
    private fun remaining(slot: Slot, now: Duration): Duration {
        val expected = lengths.expectedSeconds(slot.long).seconds
        val left = slot.startedAt + expected - now
        return if (left > Duration.ZERO) left else expected / 2
    }
}
