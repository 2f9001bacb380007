package boragering.adapters

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.cbor.Cbor
import java.io.IOException

/** Thrown when a received frame violates the protocol; the link is then closed. */
internal class MalformedFrameException(message: String, cause: Throwable? = null) : IOException(message, cause)

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
