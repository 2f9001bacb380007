package boragering.adapters

import boragering.core.membership.PeerEnvelope

/** Encodes and decodes the frame bodies that daemons exchange, for measurements of their size and encoding cost. */
object PeerWireFormat {
    /** Size of the frame header, which precedes the body, in bytes. */
    const val FRAME_HEADER_BYTES = Int.SIZE_BYTES

    /** Returns the body of the frame that carries [envelope]. */
    fun encode(envelope: PeerEnvelope): ByteArray = PeerCodec.encode(PeerEnvelope.serializer(), envelope)

    /** Decodes a [body] that [encode] returned. */
    fun decode(body: ByteArray): PeerEnvelope = PeerCodec.decode(PeerEnvelope.serializer(), body)
}
