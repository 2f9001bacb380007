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

/** The link ends because the other side did not pass the handshake. */
internal class HandshakeException(message: String) : IOException(message)

/** Carries out the handshake on [frames] and returns the authenticated peer. */
internal suspend fun PeerHandshake.authenticate(frames: PeerFrames): DaemonId {
    suspend fun send(message: HandshakeMessage) =
        frames.write(PeerCodec.encode(HandshakeMessage.serializer(), message))
    send(hello)
    var peer: DaemonId? = null
    while (peer == null) {
        val body = frames.read(PeerFrames.HANDSHAKE_LIMIT)
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

/** An established link to [peer]. */
internal class PeerConnection(
    private val peer: DaemonId,
    private val frames: PeerFrames,
    private val outbox: Outbox,
    private val settings: PeerLinkSettings,
    private val ports: PeerLinkPorts,
    private val deliver: (DaemonId, PeerEnvelope) -> Unit,
) {
    @Volatile
    private var lastReceived = ports.clock.monotonic()

    /** Sends and receives until the link fails, is silent for too long, or the caller is cancelled. */
    suspend fun run(): Unit = coroutineScope {
        launch { closing { write() } }
        launch { closing { watch() } }
        closing { read() }
    }

    /** Closes the socket when one of the activities ends, since the others may wait in calls of the socket. */
    private suspend fun closing(activity: suspend () -> Unit) = frames.use { activity() }

    private suspend fun read() {
        while (true) {
            val body = frames.read(PeerFrames.LIMIT)
            val envelope = PeerCodec.decode(PeerEnvelope.serializer(), body)
            lastReceived = ports.clock.monotonic()
            ports.traffic.received(envelope.message.kind, body.size)
            deliver(peer, envelope)
        }
    }

    private suspend fun write() {
        while (true) {
            val frame = outbox.queue.take()
            frames.write(frame.body)
            ports.traffic.sent(frame.kind, frame.body.size)
        }
    }

    private suspend fun watch() {
        while (true) {
            val silent = ports.clock.monotonic() - lastReceived
            if (silent > settings.silence) throw IOException("nothing received for ${settings.silence}")
            // A fixed short interval would wake a process with many links all the time.
            delay(settings.silence - silent + MARGIN)
        }
    }

    private companion object {
        val MARGIN = 100.milliseconds
    }
}
