package boragering.adapters

import arrow.core.getOrElse
import boragering.core.DaemonId
import boragering.core.membership.HandshakeMessage
import boragering.core.membership.HandshakeStep
import boragering.core.membership.PeerEnvelope
import boragering.core.membership.PeerHandshake
import boragering.core.membership.kind
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.timeout.IdleStateEvent
import io.netty.handler.timeout.IdleStateHandler
import java.io.IOException
import java.util.concurrent.TimeUnit

/** Thrown when the handshake fails or takes too long; the link is then closed. */
internal class HandshakeException(message: String) : IOException(message)

/** What a [PeerConnection] reports to its owner, on the thread of the channel. */
internal interface PeerConnectionListener {
    /** Called when the handshake has proved that [peer] is the other side; returns the state of the links to it. */
    fun onEstablished(link: PeerFrameWriter, peer: DaemonId): PeerLinkState

    /** Called when [peer] sent [envelope]. */
    fun onEnvelope(peer: DaemonId, envelope: PeerEnvelope)

    /**
     * Called when [link] was closed, or could not be opened (`null`), because of [failure]; `null` if no failure
     * is known.
     */
    fun onClosed(link: PeerFrameWriter?, failure: Throwable?)
}

/** One connection to another daemon: performs the handshake, then sends and receives messages. */
internal class PeerConnection(
    private val channel: Channel,
    private val handshake: PeerHandshake,
    private val settings: PeerLinkSettings,
    private val ports: PeerLinkPorts,
    private val listener: PeerConnectionListener,
) : SimpleChannelInboundHandler<ByteBuf>() {
    private val writer = PeerFrameWriter(channel, ports.traffic)
    private var peer: DaemonId? = null
    private var failure: Throwable? = null

    override fun channelActive(context: ChannelHandlerContext) {
        writer.send(handshake.hello)
        val timeout = settings.handshakeTimeout
        val onTimeout = { if (peer == null) end(HandshakeException("no handshake within $timeout")) }
        val timer = context.executor().schedule(onTimeout, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        channel.closeFuture().addListener { timer.cancel(false) }
    }

    override fun channelRead0(context: ChannelHandlerContext, frame: ByteBuf) {
        // Frames that were decoded before a failure closed the channel are not handled.
        if (failure != null) return
        if (!frame.isReadable) throw MalformedFrameException("frame length is 0 bytes")
        val body = ByteBufUtil.getBytes(frame)
        val sender = peer
        if (sender == null) {
            authenticate(PeerCodec.decode(HandshakeMessage.serializer(), body))
        } else {
            val envelope = PeerCodec.decode(PeerEnvelope.serializer(), body)
            ports.traffic.received(envelope.message.kind, body.size)
            listener.onEnvelope(sender, envelope)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) = writer.sendQueued()

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is IdleStateEvent) end(IOException("nothing received for ${settings.idleTimeout}"))
    }

    override fun channelInactive(context: ChannelHandlerContext) = listener.onClosed(writer, failure)

    @Deprecated("Netty's interface deprecates it for outbound handlers only.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) = end(cause)

    private fun end(cause: Throwable) {
        if (failure == null) failure = cause
        channel.close()
    }

    private fun authenticate(message: HandshakeMessage) {
        when (val step = handshake.receive(message).getOrElse { throw HandshakeException("handshake failed: $it") }) {
            is HandshakeStep.Send -> writer.send(step.proof)
            is HandshakeStep.Wait -> Unit
            is HandshakeStep.Established -> {
                step.proof?.let(writer::send)
                establish(step.peer)
            }
        }
    }

    private fun establish(authenticated: DaemonId) {
        peer = authenticated
        val idleTimeout = settings.idleTimeout.inWholeMilliseconds
        channel.pipeline().addFirst(IdleStateHandler(idleTimeout, 0, 0, TimeUnit.MILLISECONDS))
        PeerFrames.acceptAll(channel.pipeline())
        writer.start(listener.onEstablished(writer, authenticated).queue)
    }
}
