package boragering.adapters

import io.netty.channel.ChannelPipeline
import io.netty.handler.codec.LengthFieldBasedFrameDecoder

/** The frames between daemons: a 4-byte big-endian length followed by a CBOR body of at least one byte. */
internal object PeerFrames {
    /** Maximum size of a frame body in bytes. */
    const val MAXIMUM_BODY_BYTES = 2 * 1024 * 1024

    /** Maximum size of a frame body in bytes until the other side has proved that it knows the secret. */
    const val MAXIMUM_HANDSHAKE_BODY_BYTES = 4 * 1024

    private const val DECODER = "frames"

    /** Adds a decoder to [pipeline] that accepts only frames of the handshake. */
    fun addHandshakeDecoder(pipeline: ChannelPipeline) {
        pipeline.addFirst(DECODER, decoder(MAXIMUM_HANDSHAKE_BODY_BYTES))
    }

    /** Replaces the decoder in [pipeline] by one that accepts all frames. */
    fun acceptAll(pipeline: ChannelPipeline) {
        pipeline.replace(DECODER, DECODER, decoder(MAXIMUM_BODY_BYTES))
    }

    private fun decoder(limit: Int) =
        LengthFieldBasedFrameDecoder(limit + Int.SIZE_BYTES, 0, Int.SIZE_BYTES, 0, Int.SIZE_BYTES)
}
