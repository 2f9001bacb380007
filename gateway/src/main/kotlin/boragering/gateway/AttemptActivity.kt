package boragering.gateway

import kotlin.time.Duration

/** When the response to one attempt progressed. Used on the event loop only. */
internal class AttemptActivity(private val usage: TargetUsage, private val now: () -> Duration) {
    val startedAt = now()

    /** When the response last progressed: by its head, by a complete event, or by bytes of a non-stream response. */
    var lastProgressAt = startedAt
        private set

    /** Whether events of a stream have arrived. */
    var streaming = false
        private set

    /** Whether the response is not read because there is no memory for it. */
    var paused = false
        private set

    /** Whether the time until the next event is not the target's alone, because its response was not read. */
    private var pausedSinceEvent = false

    /** Records whether the response is read. While it is not, its silence says nothing about the target. */
    fun setPaused(pause: Boolean) {
        if (pause == paused) return
        paused = pause
        pausedSinceEvent = true
        usage.pausedResponses += if (pause) 1 else -1
        if (pause) return
        lastProgressAt = now()
        usage.resumedAt = lastProgressAt
    }

    /** Records that the response progressed. */
    fun recordProgress() {
        lastProgressAt = now()
        usage.recordActivity(lastProgressAt)
    }

    /** Records that an event has arrived. */
    fun recordEvent() {
        val previousAt = lastProgressAt
        recordProgress()
        if (streaming) {
            if (!pausedSinceEvent) usage.pace.onGap(lastProgressAt - previousAt, lastProgressAt)
        } else {
            streaming = true
            usage.onStreamStart(startedAt)
        }
        pausedSinceEvent = false
    }
}
