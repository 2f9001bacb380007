package boragering.adapters

import boragering.core.membership.PeerEnvelope

/** The bodies of frames between daemons, for measurements of their size and cost. */
object PeerWireFormat {
    /** Bytes of a frame before its body. */
    const val FRAME_HEADER_BYTES = Int.SIZE_BYTES

    /** The body of the frame that carries [envelope]. */
    fun encode(envelope: PeerEnvelope): ByteArray = PeerCodec.encode(PeerEnvelope.serializer(), envelope)

    /** The envelope in [body], which [encode] returned. */
    fun decode(body: ByteArray): PeerEnvelope = PeerCodec.decode(PeerEnvelope.serializer(), body)
}
