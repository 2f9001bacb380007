package boragering.fleet

import kotlinx.collections.immutable.PersistentList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The crashes of targets in which one part of prompts was lost. Not thread-safe. */
internal class CrashEvidence {
    /** The loss of a request with [parts] at [target]. */
    data class Loss(val target: InstanceStart, val at: Duration, val parts: PersistentList<PromptPart>)

    private val losses = ArrayList<Loss>()

    /** Whether a request with the part was answered before, here or at the gateway that reported a crash. */
    var proven = false

    /** Adds [loss] unless the crash of its target is known. */
    fun add(loss: Loss) {
        if (losses.none { it.target == loss.target }) losses += loss
        if (losses.size > MAX_LOSSES) losses.removeFirst()
    }

    /** Drops the losses of requests that contain [part], which is their cause. */
    fun discount(part: PromptPart) {
        losses.removeIf { part in it.parts }
    }

    /** Number of crashes after [since]. Targets that end at the same time have a common cause and count once. */
    fun count(since: Duration): Int {
        var last: Duration? = null
        return losses.map { it.at }.filter { it > since }.sorted().count { at ->
            val separate = last.let { it == null || at - it >= COINCIDENCE_TIME }
            if (separate) last = at
            separate
        }
    }

    private companion object {
        const val MAX_LOSSES = 16

        /** Shorter than the time that any engine needs to read a prompt. */
        val COINCIDENCE_TIME = 50.milliseconds
    }
}
