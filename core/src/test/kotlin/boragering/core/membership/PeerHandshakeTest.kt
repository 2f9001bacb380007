package boragering.core.membership

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import boragering.core.DaemonId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf

class PeerHandshakeTest : DescribeSpec({
    val a = DaemonId("a")
    val b = DaemonId("b")
    var lastNonce = 0

    fun side(daemon: DaemonId, role: LinkRole, secret: String = "secret", expected: DaemonId? = null): PeerHandshake {
        lastNonce += 1
        return PeerHandshake(
            HandshakeIdentity(daemon, secret.toByteArray()),
            role,
            lastNonce.toString().padStart(32, '0'),
            expected,
        )
    }

    fun connector(secret: String = "secret", expected: DaemonId? = b) = side(a, LinkRole.CONNECTOR, secret, expected)

    fun acceptor(secret: String = "secret") = side(b, LinkRole.ACCEPTOR, secret)

    fun Either<HandshakeFailure, HandshakeStep>.proof(): HandshakeMessage.Proof =
        getOrNull().shouldBeInstanceOf<HandshakeStep.Send>().proof

    describe("a handshake with the same secret") {
        it("establishes the link for both sides with each other's id") {
            val connector = connector()
            val acceptor = acceptor()
            acceptor.receive(connector.hello) shouldBe HandshakeStep.Wait.right()
            val proof = connector.receive(acceptor.hello).proof()
            val step = acceptor.receive(proof).getOrNull().shouldBeInstanceOf<HandshakeStep.Established>()
            step.peer shouldBe a
            connector.receive(step.proof!!) shouldBe HandshakeStep.Established(b, null).right()
        }
    }

    describe("a handshake with another secret") {
        it("fails for the acceptor before it has given a proof") {
            val connector = connector("wrong")
            val acceptor = acceptor()
            acceptor.receive(connector.hello)
            val proof = connector.receive(acceptor.hello).proof()
            acceptor.receive(proof) shouldBe HandshakeFailure.INVALID_PROOF.left()
        }

        it("fails for the connector") {
            val connector = connector()
            val acceptor = acceptor("wrong")
            connector.receive(acceptor.hello)
            connector.receive(HandshakeMessage.Proof("00")) shouldBe HandshakeFailure.INVALID_PROOF.left()
        }
    }

    describe("a hello") {
        val hello = HandshakeMessage.Hello(PeerHandshake.VERSION, a, "f".repeat(32))

        it("of another version is refused") {
            acceptor().receive(hello.copy(protocolVersion = 2)) shouldBe HandshakeFailure.VERSION_MISMATCH.left()
        }

        it("with the daemon's own id is refused") {
            acceptor().receive(hello.copy(daemon = b)) shouldBe HandshakeFailure.OWN_ID.left()
        }

        it("with the nonce of the recipient is refused") {
            val side = acceptor()
            side.receive(hello.copy(nonce = side.hello.nonce)) shouldBe HandshakeFailure.INVALID_NONCE.left()
        }

        it("with a short nonce is refused") {
            acceptor().receive(hello.copy(nonce = "0")) shouldBe HandshakeFailure.INVALID_NONCE.left()
        }

        it("of another daemon than expected is refused") {
            connector(expected = DaemonId("c")).receive(hello.copy(daemon = b)) shouldBe
                HandshakeFailure.UNEXPECTED_DAEMON.left()
        }

        it("that is repeated is refused") {
            val side = acceptor()
            side.receive(hello)
            side.receive(hello) shouldBe HandshakeFailure.OUT_OF_ORDER.left()
        }
    }

    describe("a proof") {
        it("before the hello is refused, and so is everything after it") {
            val acceptor = acceptor()
            acceptor.receive(HandshakeMessage.Proof("00")) shouldBe HandshakeFailure.OUT_OF_ORDER.left()
            acceptor.receive(connector().hello) shouldBe HandshakeFailure.OUT_OF_ORDER.left()
        }

        it("that is sent back to the side that created it is refused") {
            val connector = connector(expected = null)
            val proof = connector.receive(acceptor().hello).proof()
            connector.receive(proof) shouldBe HandshakeFailure.INVALID_PROOF.left()
        }

        it("that was recorded on another link is refused") {
            val recorded = connector()
            val proof = recorded.receive(acceptor().hello).proof()
            val acceptor = acceptor()
            acceptor.receive(recorded.hello)
            acceptor.receive(proof) shouldBe HandshakeFailure.INVALID_PROOF.left()
        }

        it("depends on where one field ends and the next begins") {
            val identity = HandshakeIdentity(DaemonId("x"), "secret".toByteArray())
            val proofs = listOf("a" to "b${"0".repeat(32)}", "ab" to "0".repeat(32)).map { (daemon, nonce) ->
                PeerHandshake(identity, LinkRole.CONNECTOR, "1".repeat(32))
                    .receive(HandshakeMessage.Hello(PeerHandshake.VERSION, DaemonId(daemon), nonce))
                    .proof()
            }
            proofs[0] shouldNotBe proofs[1]
        }
    }
})
