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

    /** Records whether the response is read. While it is not, its silence says nothing about the target. */
    fun setPaused(pause: Boolean) {
        if (pause == paused) return
        paused = pause
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
        recordProgress()
        if (streaming) return
        streaming = true
        usage.onStreamStart(startedAt)
    }
}
