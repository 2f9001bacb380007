package boragering.fleet

import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * What a gateway knows of the parts of prompts: in which crashes of targets they were lost, and when requests with them
 * were answered. Bounded; what is older than [MEMORY] no longer counts. Not thread-safe.
 */
internal class PartEvidence {
    private val answered = RecentMap<SharedPart, Duration>(MAX_ANSWERED)
    private val losses = RecentMap<SharedPart, CrashEvidence>(MAX_SUSPECTS)

    /** Records that a request with [part] was answered at [now], which clears the part. */
    fun recordAnswer(part: SharedPart, now: Duration) {
        answered[part] = now
        clear(part)
    }

    /** Forgets the crashes in which [part] was lost. */
    fun clear(part: SharedPart) {
        losses.remove(part)
    }

    /** Whether a request with [part] was answered after [time]. */
    fun answeredAfter(time: Duration, part: SharedPart): Boolean = answered[part].let { it != null && it > time }

    /** Counts the loss of [request] in [crash] against those of its parts that were not answered since it was sent. */
    fun blame(request: LostRequest, crash: TargetCrash) {
        val suspects = request.parts.filter { !answeredAfter(request.sentAt, SharedPart(crash.service, it)) }
        suspects.forEach { part ->
            val own = losses.getOrPut(SharedPart(crash.service, part)) { CrashEvidence() }
            own.add(CrashEvidence.Loss(crash.target, crash.at, request.parts))
            if (part in request.proven) own.proven = true
        }
    }

    /** Drops the losses of all requests that contain [part], because it is their cause. */
    fun explain(part: SharedPart) {
        clear(part)
        losses.values.forEach { it.discount(part.part) }
    }

    /** Adds to [crash] which of the lost parts were answered before. */
    fun annotate(crash: TargetCrash): TargetCrash {
        val lost = crash.lost.map { request ->
            val proven = request.parts.filter { answeredAfter(crash.at - MEMORY, SharedPart(crash.service, it)) }
            request.copy(proven = proven.toPersistentList())
        }
        return crash.copy(lost = lost.toPersistentList())
    }

    /** Whether requests with [part] are known to have been answered before [now]. */
    fun proven(part: SharedPart, now: Duration): Boolean =
        losses[part]?.proven == true || answeredAfter(now - MEMORY, part)

    /** Number of further crashes, from [now] on, after which [part] has to be taken for their cause. */
    fun crashesLeft(part: SharedPart, now: Duration): Int {
        val needed = if (proven(part, now)) CRASHES_OF_PROVEN_PART else CRASHES_OF_UNPROVEN_PART
        val crashes = losses[part]?.count(since = now - MEMORY) ?: 0
        return (needed - crashes).coerceAtLeast(0)
    }

    private companion object {
        val MEMORY = 1.minutes

        /** Crashes without an answer in between after which a part that was never answered counts as their cause. */
        const val CRASHES_OF_UNPROVEN_PART = 3

        /** The same for a part that was answered before; many sound requests may share it. */
        const val CRASHES_OF_PROVEN_PART = 6
        const val MAX_ANSWERED = 8_192
        const val MAX_SUSPECTS = 1_024
    }
}
