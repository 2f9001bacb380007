package boragering.adapters

import arrow.core.getOrElse
import boragering.core.DaemonId
import boragering.core.membership.HandshakeMessage
import boragering.core.membership.HandshakeStep
import boragering.core.membership.PeerEnvelope
import boragering.core.membership.PeerHandshake
import boragering.core.membership.kind
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.io.IOException
import kotlin.time.Duration.Companion.milliseconds

/** Thrown when the handshake fails or takes too long; the link is then closed. */
internal class HandshakeException(message: String) : IOException(message)

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
        val body = frames.read(PeerFrameChannel.MAXIMUM_HANDSHAKE_BODY_BYTES)
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

/** Sends and receives messages on an established link to [peer]. */
internal class PeerConnection(
    private val peer: DaemonId,
    private val frames: PeerFrameChannel,
    private val linkState: PeerLinkState,
    private val settings: PeerLinkSettings,
    private val ports: PeerLinkPorts,
    private val onEnvelope: (DaemonId, PeerEnvelope) -> Unit,
) {
    @Volatile
    private var lastReceivedAt = ports.clock.monotonic()

    /** Runs until the link fails, nothing was received for the idle timeout, or the caller is cancelled. */
    suspend fun run(): Unit = coroutineScope {
        launch { closeSocketAfter { sendLoop() } }
        launch { closeSocketAfter { monitorIdleTime() } }
        closeSocketAfter { receiveLoop() }
    }

    /** Runs [activity] and then closes the socket, because the other activities may be blocked in socket calls. */
    private suspend fun closeSocketAfter(activity: suspend () -> Unit) = frames.use { activity() }

    private suspend fun receiveLoop() {
        while (true) {
            val body = frames.read(PeerFrameChannel.MAXIMUM_BODY_BYTES)
            val envelope = PeerCodec.decode(PeerEnvelope.serializer(), body)
            lastReceivedAt = ports.clock.monotonic()
            ports.traffic.received(envelope.message.kind, body.size)
            onEnvelope(peer, envelope)
        }
    }

    private suspend fun sendLoop() {
        while (true) {
            val frame = linkState.queue.take()
            frames.write(frame.body)
            ports.traffic.sent(frame.kind, frame.body.size)
        }
    }

    private suspend fun monitorIdleTime() {
        while (true) {
            val idleTime = ports.clock.monotonic() - lastReceivedAt
            if (idleTime > settings.idleTimeout) throw IOException("nothing received for ${settings.idleTimeout}")
            // Polling at a short fixed interval would keep waking a process that has many links.
            delay(settings.idleTimeout - idleTime + IDLE_CHECK_MARGIN)
        }
    }

    private companion object {
        val IDLE_CHECK_MARGIN = 100.milliseconds
    }
}
