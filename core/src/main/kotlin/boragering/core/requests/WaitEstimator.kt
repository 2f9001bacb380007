package boragering.core.requests

import boragering.core.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Estimates how long requests of one entry wait for a slot. Not safe for several threads. */
internal class WaitEstimator(
    private val clock: Clock,
    private val queue: WaitQueue,
    private val lengths: RequestLengthPredictor,
    private val targets: EntryTargets,
) {
    /**
     * Time until [waiter] gets a slot if it is queued now, while [running] hold the entry's slots, of which there may
     * be [limit], long ones in [longRequestShare] of the targets' slots. Zero when there is room, or when it is not known how
     * long requests take.
     */
    fun estimate(waiter: Waiter, running: Collection<Slot>, limit: Int, longRequestShare: Double): Duration {
        val now = clock.monotonic()
        // While long requests have used up their share, they and the short ones wait for different slots.
        val kind = waiter.long.takeIf { targets.longShareExhausted(longRequestShare) }
        val ahead = queue.ahead(waiter, kind)
        val room = ahead == 0 && running.size < limit && targets.targetsWithFreeSlots(waiter.long, longRequestShare, now).isNotEmpty()
        val duration = if (kind == null) lengths.meanSeconds(now) else lengths.observedSeconds(kind)
        val ends = running.filter { kind == null || it.long == kind }.map { remaining(it, now) }.sorted()
        return when {
            room || duration == null || ends.isEmpty() -> Duration.ZERO
            else -> ends[ahead % ends.size] + (ahead / ends.size * duration).seconds
        }
    }

    /** Expected time to the end of a running request; one that is overdue is expected to need half as long again. */
    private fun remaining(slot: Slot, now: Duration): Duration {
        val expected = lengths.expectedSeconds(slot.long).seconds
        val left = slot.startedAt + expected - now
        return if (left > Duration.ZERO) left else expected / 2
    }
}
