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

/** Thrown when a received frame violates the protocol; the link is then closed. */
internal class MalformedFrameException(message: String, cause: Throwable? = null) : IOException(message, cause)

/** Reads and writes frames on [socket]. A frame is a 4-byte big-endian length followed by a CBOR body. */
internal class PeerFrameChannel(private val socket: Socket) : AutoCloseable {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)

    /**
     * Reads the body of the next frame.
     *
     * @throws MalformedFrameException when its length is not 1 to [limit] bytes. The body is not read in that case.
     */
    suspend fun read(limit: Int): ByteArray {
        val length = input.readInt()
        if (length !in 1..limit) throw MalformedFrameException("frame length is $length bytes, expected 1 to $limit")
        return input.readByteArray(length)
    }

    /** Writes [body] as one frame and flushes it. */
    suspend fun write(body: ByteArray) {
        output.writeInt(body.size)
        output.writeByteArray(body)
        output.flush()
    }

    override fun close() = socket.close()

    companion object {
        /** Maximum size of a frame body in bytes. */
        const val MAXIMUM_BODY_BYTES = 2 * 1024 * 1024

        /** Maximum size of a frame body in bytes until the other side has proved that it knows the secret. */
        const val MAXIMUM_HANDSHAKE_BODY_BYTES = 4 * 1024
    }
}

/** The CBOR encoding of messages between daemons. */
@OptIn(ExperimentalSerializationApi::class)
internal object PeerCodec {
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        alwaysUseByteString = true
    }

    fun <T> encode(serializer: SerializationStrategy<T>, value: T): ByteArray =
        cbor.encodeToByteArray(serializer, value)

    /** @throws MalformedFrameException when [body] cannot be decoded. */
    fun <T> decode(deserializer: DeserializationStrategy<T>, body: ByteArray): T = try {
        cbor.decodeFromByteArray(deserializer, body)
        // The decoder throws several types of unchecked exceptions for bytes that are not valid CBOR.
    } catch (@Suppress("TooGenericExceptionCaught") failure: RuntimeException) {
        throw MalformedFrameException("frame body cannot be decoded as a message", failure)
    }
}
