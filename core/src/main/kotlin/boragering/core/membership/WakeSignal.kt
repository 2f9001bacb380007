package boragering.core.membership

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/** Ends the wait of one loop early. */
internal class WakeSignal {
    private val channel = Channel<Unit>(Channel.CONFLATED)

    /** Ends the present or the next wait. */
    fun signal() {
        channel.trySend(Unit)
    }

    /** Waits for [limit], or until [signal] is called. */
    suspend fun await(limit: Duration) {
        withTimeoutOrNull(limit) { channel.receive() }
    }
}
