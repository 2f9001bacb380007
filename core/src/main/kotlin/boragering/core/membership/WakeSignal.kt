package boragering.core.membership

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/** Wakes one waiting loop early. */
internal class WakeSignal {
    private val channel = Channel<Unit>(Channel.CONFLATED)

    /** Ends the current wait, or the next one if no loop is waiting. */
    fun signal() {
        channel.trySend(Unit)
    }

    /** Waits until [signal] is called, but at most for [limit]. */
    suspend fun await(limit: Duration) {
        withTimeoutOrNull(limit) { channel.receive() }
    }
}
