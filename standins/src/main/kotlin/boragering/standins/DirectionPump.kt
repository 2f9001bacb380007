package boragering.standins

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Moves one direction's bytes in order. Bytes that arrive while the direction is stalled or delayed are held, up to
 * [HELD_CHUNKS] reads; then the sender's writes block, as they do on a stalled network.
 */
internal class DirectionPump(
    private val from: ByteReadChannel,
    private val to: ByteWriteChannel,
    private val faults: Flow<DirectionFaults>,
) {
    private class Chunk(val bytes: ByteArray, val received: ComparableTimeMark)

    private val held = Channel<Chunk>(HELD_CHUNKS)

    /** Pumps until the end of the input, which is passed on too. */
    suspend fun run() = coroutineScope {
        launch { receive() }
        for (chunk in held) {
            awaitDelivery(chunk.received)
            to.writeFully(chunk.bytes)
            to.flush()
        }
        awaitDelivery(TimeSource.Monotonic.markNow())
        to.flushAndClose()
    }

    private suspend fun receive() {
        val buffer = ByteArray(READ_BYTES)
        while (true) {
            val count = from.readAvailable(buffer, 0, buffer.size)
            if (count < 0) break
            if (count > 0) held.send(Chunk(buffer.copyOf(count), TimeSource.Monotonic.markNow()))
        }
        held.close()
    }

    private suspend fun awaitDelivery(received: ComparableTimeMark) {
        val open = faults.first { !it.stalled }
        delay(open.delayMilliseconds.milliseconds - received.elapsedNow())
        faults.first { !it.stalled }
    }

    private companion object {
        const val HELD_CHUNKS = 256
        const val READ_BYTES = 16_384
    }
}
