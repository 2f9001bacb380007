package boragering.adapters

import arrow.core.getOrElse
import boragering.core.DaemonId
import boragering.core.membership.HandshakeMessage
import boragering.core.membership.HandshakeStep
import boragering.core.membership.PeerHandshake
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt

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
}

/**
 * Performs the handshake over [frames] and returns the authenticated peer.
 *
 * @throws HandshakeException when the other side violates the handshake protocol or fails to prove the secret.
 */
internal suspend fun PeerHandshake.authenticate(frames: PeerFrameChannel): DaemonId {
    suspend fun send(message: HandshakeMessage) =
        frames.write(PeerCodec.encode(HandshakeMessage.serializer(), message))
    send(hello)
    var peer: DaemonId? = null
    while (peer == null) {
        val body = frames.read(PeerFrames.MAXIMUM_HANDSHAKE_BODY_BYTES)
        val step = receive(PeerCodec.decode(HandshakeMessage.serializer(), body))
            .getOrElse { throw HandshakeException("handshake failed: $it") }
        when (step) {
            is HandshakeStep.Send -> send(step.proof)
            is HandshakeStep.Wait -> Unit
            is HandshakeStep.Established -> {
                step.proof?.let { send(it) }
                peer = step.peer
            }
        }
    }
    return peer
}
