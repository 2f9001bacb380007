package boragering.adapters

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.io.IOException
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.cbor.Cbor

/** A frame that does not follow the protocol; the link is closed. */
internal class MalformedFrameException(message: String, cause: Throwable? = null) : IOException(message, cause)

/** Frames of a 4-byte big-endian length and a CBOR body. */
internal class PeerFrameChannel(private val socket: Socket) : AutoCloseable {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)

    /** Reads the body of the next frame; a length over [limit] bytes is refused before anything is read. */
    suspend fun read(limit: Int): ByteArray {
        val length = input.readInt()
        if (length !in 1..limit) throw MalformedFrameException("frame of $length bytes, 1 to $limit expected")
        return input.readByteArray(length)
    }

    /** Writes a frame. */
    suspend fun write(body: ByteArray) {
        output.writeInt(body.size)
        output.writeByteArray(body)
        output.flush()
    }

    override fun close() = socket.close()

    companion object {
        /** Largest body of a frame in bytes. */
        const val MAXIMUM_BODY_BYTES = 2 * 1024 * 1024

        /** Largest body of a frame in bytes before the other side has proved the secret. */
        const val MAXIMUM_HANDSHAKE_BODY_BYTES = 4 * 1024
    }
}

/** CBOR as it is used between daemons. */
@OptIn(ExperimentalSerializationApi::class)
internal object PeerCodec {
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        alwaysUseByteString = true
    }

    fun <T> encode(serializer: SerializationStrategy<T>, value: T): ByteArray =
        cbor.encodeToByteArray(serializer, value)

    /** @throws MalformedFrameException when [body] is no valid value. */
    fun <T> decode(deserializer: DeserializationStrategy<T>, body: ByteArray): T = try {
        cbor.decodeFromByteArray(deserializer, body)
        // The decoder throws several kinds of unchecked exceptions for bytes that are no CBOR.
    } catch (@Suppress("TooGenericExceptionCaught") failure: RuntimeException) {
        throw MalformedFrameException("frame is not a valid message", failure)
    }
}
