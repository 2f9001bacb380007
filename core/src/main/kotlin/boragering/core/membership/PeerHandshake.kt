package boragering.core.membership

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import boragering.core.DaemonId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.apache.commons.codec.digest.HmacAlgorithms
import org.apache.commons.codec.digest.HmacUtils
import java.security.MessageDigest

/** A message of the handshake that establishes a link between daemons. */
@Serializable
sealed interface HandshakeMessage {
    /** The first message in each direction. [nonce] is random and used once. */
    @Serializable
    @SerialName("hello")
    data class Hello(val protocolVersion: Int, val daemon: DaemonId, val nonce: String) : HandshakeMessage

    /** Proves knowledge of the shared secret; [code] is hexadecimal. */
    @Serializable
    @SerialName("proof")
    data class Proof(val code: String) : HandshakeMessage
}

/** The side of a link. It is part of the proof, so a proof cannot be reflected back to the daemon that created it. */
enum class LinkRole {
    /** The side that opened the connection. */
    CONNECTOR,

    /** The side that accepted the connection. */
    ACCEPTOR,
}

/** What one side of a link must do after it has received a handshake message. */
sealed interface HandshakeStep {
    /** Send [proof] and wait for the proof of the other side. */
    data class Send(val proof: HandshakeMessage.Proof) : HandshakeStep

    /** Wait for the other side's proof. */
    data object Wait : HandshakeStep

    /** The link to [peer] is established; [proof] must still be sent if it is not `null`. */
    data class Established(val peer: DaemonId, val proof: HandshakeMessage.Proof?) : HandshakeStep
}

/** The reason why a handshake failed. The link must then be closed. */
enum class HandshakeFailure {
    /** The other side speaks another version of the protocol. */
    VERSION_MISMATCH,

    /** The other side reports this daemon's own id. */
    OWN_ID,

    /** The other side sent this daemon's nonce back, or a nonce that is too short. */
    INVALID_NONCE,

    /** The daemon that answers at this address is not the expected one. */
    UNEXPECTED_DAEMON,

    /** The message is not the next one expected in the handshake. */
    OUT_OF_ORDER,

    /** The proof was computed with a different secret, with a different nonce or for the other side. */
    INVALID_PROOF,
}

/** The daemon id and the shared secret with which one side performs its handshakes. */
class HandshakeIdentity(val daemon: DaemonId, internal val secret: ByteArray)

/**
 * One side of the handshake on one link. The connector proves first that it knows the secret. The acceptor sends its
 * own proof only after it has received a valid one, so it discloses no proof to a connector without the secret. Not
 * safe for use by several threads.
 *
 * @param nonce hexadecimal, random, at least 32 characters, used for this link only.
 * @param expected the daemon that should answer; `null` for an acceptor or if the daemon at the address is unknown.
 */
class PeerHandshake(
    private val identity: HandshakeIdentity,
    private val role: LinkRole,
    nonce: String,
    private val expected: DaemonId? = null,
) {
    /** The message to send first. */
    val hello = HandshakeMessage.Hello(VERSION, identity.daemon, nonce)

    // Each handshake has its own instance, because HmacUtils holds state while it computes a code.
    private val hmac = HmacUtils(HmacAlgorithms.HMAC_SHA_256, identity.secret)
    private var remote: HandshakeMessage.Hello? = null
    private var finished = false

    init {
        require(nonce.length >= MINIMUM_NONCE_LENGTH) { "The nonce needs at least $MINIMUM_NONCE_LENGTH characters" }
    }

    /** Handles the next message from the other side. After a failure the link must be closed. */
    fun receive(message: HandshakeMessage): Either<HandshakeFailure, HandshakeStep> {
        val other = remote
        return when {
            finished -> HandshakeFailure.OUT_OF_ORDER.left()
            message is HandshakeMessage.Hello && other == null -> handleHello(message)
            message is HandshakeMessage.Proof && other != null -> handleProof(message, other)
            else -> HandshakeFailure.OUT_OF_ORDER.left()
        }.onLeft { finished = true }
    }

    private fun handleHello(message: HandshakeMessage.Hello): Either<HandshakeFailure, HandshakeStep> {
        val failure = when {
            message.protocolVersion != VERSION -> HandshakeFailure.VERSION_MISMATCH
            message.daemon == identity.daemon -> HandshakeFailure.OWN_ID
            message.nonce.length < MINIMUM_NONCE_LENGTH -> HandshakeFailure.INVALID_NONCE
            message.nonce == hello.nonce -> HandshakeFailure.INVALID_NONCE
            expected != null && message.daemon != expected -> HandshakeFailure.UNEXPECTED_DAEMON
            else -> null
        }
        remote = message
        val step = if (role == LinkRole.CONNECTOR) HandshakeStep.Send(proof(role, message)) else HandshakeStep.Wait
        return failure?.left() ?: step.right()
    }

    private fun handleProof(
        message: HandshakeMessage.Proof,
        other: HandshakeMessage.Hello,
    ): Either<HandshakeFailure, HandshakeStep> {
        val otherRole = LinkRole.entries.first { it != role }
        val valid = MessageDigest.isEqual(proof(otherRole, other).code.toByteArray(), message.code.toByteArray())
        finished = true
        val answer = if (role == LinkRole.ACCEPTOR) proof(role, other) else null
        return if (valid) {
            HandshakeStep.Established(other.daemon, answer).right()
        } else {
            HandshakeFailure.INVALID_PROOF.left()
        }
    }

    private fun proof(by: LinkRole, other: HandshakeMessage.Hello): HandshakeMessage.Proof {
        val sides = if (role == LinkRole.CONNECTOR) listOf(hello, other) else listOf(other, hello)
        val fields = listOf(by.name) + sides.flatMap { listOf(it.daemon.value, it.nonce) }
        // The length prefixes ensure that two different lists of fields never result in the same text.
        val text = fields.joinToString("") { "${it.length}:$it" }
        return HandshakeMessage.Proof(hmac.hmacHex(text))
    }

    /** Constants of the handshake. */
    companion object {
        /** The version of the protocol between daemons. */
        const val VERSION = 1

        private const val MINIMUM_NONCE_LENGTH = 32
    }
}
