package boragering.gateway

import io.netty.channel.Channel
import java.util.EnumSet

/** Why a connection is not read. */
internal enum class PauseReason { QUEUE_FULL, MEMORY_SHORT }

/** Reads a caller's connection unless there is a reason not to. Used on the event loop only. */
internal class ReadingGate(private val channel: Channel) {
    private val reasons = EnumSet.noneOf(PauseReason::class.java)

    /** Stops reading because of [reason]. */
    fun pause(reason: PauseReason) {
        reasons += reason
        channel.config().isAutoRead = false
    }

    /** Ends [reason]. */
    fun resume(reason: PauseReason) {
        reasons -= reason
        if (reasons.isEmpty()) channel.config().isAutoRead = true
    }
}
