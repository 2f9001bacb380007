package boragering.core.membership

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/** Ends the wait of one loop early. */
internal class Wake {
    private val signal = Channel<Unit>(Channel.CONFLATED)

    /** Ends the present or the next wait. */
    fun now() {
        signal.trySend(Unit)
    }

    /** Waits for [limit], or until [now] is called. */
    suspend fun await(limit: Duration) {
        withTimeoutOrNull(limit) { signal.receive() }
    }
}
