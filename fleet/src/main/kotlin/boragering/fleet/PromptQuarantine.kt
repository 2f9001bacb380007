package boragering.fleet

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * Decides which parts of prompts crash the targets that process them, and keeps requests with such parts from targets.
 *
 * Answers a load in which one part ends every target, while sound requests share the caller and all other parts. Each
 * crash casts suspicion on all parts that were lost with the target, and an answered request clears its parts. A part
 * that is lost in several crashes without an answer is quarantined, and the losses of the requests that contained it
 * no longer count against their other parts. Of several such parts, those that were answered before come last, and a
 * later part of the prompt comes before an earlier one, which more requests share.
 *
 * All state is bounded and expires. Times are of the monotonic clock. Not thread-safe.
 */
class PromptQuarantine {
    private val evidence = PartEvidence()
    private val entries = RecentMap<SharedPart, QuarantineEntry>(MAX_QUARANTINED)

    /** The parts that are in quarantine at [now]. */
    fun quarantined(now: Duration): PersistentList<SharedPart> {
        entries.removeIf { it.until <= now }
        return entries.keys.toPersistentList()
    }

    /** Clears [parts] because a request with them was answered at [now]; returns those that were in quarantine. */
    fun recordAnswer(parts: List<SharedPart>, now: Duration): PersistentList<SharedPart> {
        parts.forEach { evidence.recordAnswer(it, now) }
        return parts.filter { entries.remove(it) != null }.toPersistentList()
    }

    /** Ends the quarantine of [part] and forgets the evidence against it. */
    fun release(part: SharedPart) {
        evidence.clear(part)
        entries.remove(part)
    }

    /** Adds to [crash], at which requests of this gateway were lost, which of their parts were answered before. */
    fun annotate(crash: TargetCrash): TargetCrash = evidence.annotate(crash)

    /** Takes account of [crash], which this or another gateway saw. Returns the parts that it puts into quarantine. */
    fun recordCrash(crash: TargetCrash): PersistentList<SharedPart> {
        crash.lost.forEach { request ->
            val causes = SharedPart.of(crash.service, request.parts).mapNotNull(entries::get)
            if (causes.isEmpty()) evidence.blame(request, crash) else causes.forEach { it.extend(crash.at) }
        }
        val suspects = crash.lost.flatMap { it.parts.asReversed() }.distinct()
        return SharedPart.of(crash.service, suspects)
            .sortedBy { evidence.proven(it, crash.at) }
            .filter { part -> (evidence.crashesLeft(part, crash.at) == 0).also { if (it) enter(part, crash.at) } }
            .toPersistentList()
    }

    /**
     * Puts [part] into quarantine because another gateway has, unless a request with it was answered here in the last
     * [sinceCrash] before [now]. Returns whether the part is in quarantine then.
     */
    fun adopt(part: SharedPart, sinceCrash: Duration, now: Duration): Boolean {
        val contradicted = evidence.answeredAfter(now - sinceCrash, part)
        if (!contradicted && entries[part] == null) enter(part, now)
        return !contradicted
    }

    /**
     * Time after [now] for which requests with [parts] have to stay away from targets; `null` if a request with them
     * may be sent. Once in a while one request may be sent as a trial of a part, by the gateway for which [mayTry]
     * holds.
     */
    fun waitTime(parts: List<SharedPart>, now: Duration, mayTry: (SharedPart) -> Boolean): Duration? {
        if (entries.isEmpty) return null
        val active = parts.mapNotNull { part -> entries[part]?.takeIf { it.until > now }?.let { part to it } }
        val waiting = active.filter { (part, entry) -> entry.trialAt > now || !mayTry(part) }
        if (waiting.isEmpty()) active.forEach { (_, entry) -> entry.startTrial(now) }
        return waiting.maxOfOrNull { (_, entry) -> (entry.trialAt - now).coerceAtLeast(SHORTEST_WAIT) }
    }

    /** Whether one of [parts] is in quarantine at [now]. */
    fun holds(parts: List<SharedPart>, now: Duration): Boolean =
        parts.any { part -> entries[part].let { it != null && it.until > now } }

    /**
     * Whether a request that was just lost with its target may be sent to another one at [now]: not if one crash after
     * that one would put one of its [parts] into quarantine.
     */
    fun mayFollowLoss(parts: List<SharedPart>, now: Duration): Boolean =
        parts.none { evidence.crashesLeft(it, now) <= CRASHES_AT_HAND }

    private fun enter(part: SharedPart, now: Duration) {
        entries[part] = QuarantineEntry(now)
        evidence.explain(part)
    }

    /** Durations that other components of a gateway share. */
    companion object {
        /** Time after the last crash for which a part stays in quarantine, unless an answer clears it. */
        val QUARANTINE_TIME = 10.minutes
        private val SHORTEST_WAIT = 500.milliseconds
        private const val MAX_QUARANTINED = 256

        /** The loss of the request itself, and the one that a repetition may cause. */
        private const val CRASHES_AT_HAND = 2
    }
}

/** How long a part stays in quarantine since [start], and when the next request with it may be tried. */
private class QuarantineEntry(start: Duration) {
    var until = start + PromptQuarantine.QUARANTINE_TIME
        private set

    var trialAt = start + FIRST_TRIAL_DELAY
        private set
    private var trials = 0

    fun startTrial(now: Duration) {
        trials += 1
        trialAt = now + FIRST_TRIAL_DELAY * (1 shl trials.coerceAtMost(MAX_DOUBLINGS))
    }

    fun extend(crashedAt: Duration) {
        until = maxOf(until, crashedAt + PromptQuarantine.QUARANTINE_TIME)
    }

    private companion object {
        val FIRST_TRIAL_DELAY = 1.minutes
        const val MAX_DOUBLINGS = 3
    }
}
