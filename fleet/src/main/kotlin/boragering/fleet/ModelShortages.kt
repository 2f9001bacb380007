package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * The models that lack groups, and for how long they keep the groups that end their shortage. Times are of the
 * monotonic clock. Not thread-safe.
 */
internal class ModelShortages {
    private val shortages = HashMap<ModelName, Shortage>()

    /**
     * A shortage whose last caller was rejected at [rejectedAt], and that counts [until]; [recurs] if it came back
     * within a minute of its end.
     */
    private class Shortage(val rejectedAt: Duration, val until: Duration, val recurs: Boolean)

    /** Records that callers of [model] were rejected at [now]. */
    fun record(model: ModelName, now: Duration) {
        val last = shortages[model]
        val recurs = last != null && (if (now < last.until) last.recurs else now < last.until + RECURRENCE_TIME)
        shortages[model] = Shortage(now, now + if (recurs) RECURRENT_MEMORY else MEMORY, recurs)
    }

    /** The models that are or have lately been short at [now]. */
    fun models(now: Duration): Set<ModelName> = shortages.filterValues { now < it.until }.keys

    /** The models whose callers were rejected in the last 10 s before [now]. */
    fun rejectedRecently(now: Duration): Set<ModelName> = shortages.filterValues { now < it.rejectedAt + MEMORY }.keys

    /** Whether the shortage of a model that is or has lately been short at [now] has come back. */
    fun anyRecurs(now: Duration): Boolean = shortages.values.any { it.recurs && now < it.until }

    /** Drops all models but [models]. */
    fun retain(models: Set<ModelName>) {
        shortages.keys.retainAll(models)
    }

    private companion object {
        /** Time for which a model counts as short after its last shortage; a group that it needs takes as long. */
        val MEMORY = 10.seconds

        /**
         * The same for a shortage that has come back, which shows that the configured shares do not suffice. With
         * [MEMORY] alone, the groups of such a model would be dissolved and formed again every 11 s.
         */
        val RECURRENT_MEMORY = 5.minutes

        /** Time after the end of a shortage within which the next one counts as the same that has come back. */
        val RECURRENCE_TIME = 1.minutes
    }
}
