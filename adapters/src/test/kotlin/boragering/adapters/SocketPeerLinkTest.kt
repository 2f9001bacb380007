package boragering.adapters

import boragering.core.DaemonId
import boragering.core.membership.Item
import boragering.core.membership.PeerEnvelope
import boragering.core.membership.PeerMessage
import boragering.core.timeline.HybridTime
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.withTimeout
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private suspend fun awaitAssertion(condition: suspend () -> Unit) = eventually(10.seconds, condition)

private suspend fun withTwoLinks(action: suspend (LinkFixture, LinkFixture) -> Unit) =
    LinkFixture("a").start().use { a ->
        LinkFixture("b").start().use { b ->
            a.addresses[b.id] = b.address
            action(a, b)
        }
    }

class SocketPeerLinkTest : DescribeSpec({
    val ping = PeerMessage.Ping(7)
    val content = "x".repeat(1_000_000)

    describe("a link between two daemons") {
        it("delivers a message of a store value's size with the sender's id, and carries the reply on the same link") {
            withTwoLinks { a, b ->
                val items = PeerMessage.Items(listOf(Item("key", 1, content)))
                a.link.send(b.id, items)
                awaitAssertion { b.received shouldContainExactly listOf(a.id to items) }
                b.link.send(a.id, ping)
                awaitAssertion { a.received shouldContainExactly listOf(b.id to ping) }
            }
        }

        it("can be opened to a seed address without knowing the id of its daemon") {
            withTwoLinks { a, b ->
                a.link.sendToAddress(b.address, ping)
                awaitAssertion { b.received shouldContain (a.id to ping) }
                b.link.send(a.id, ping)
                awaitAssertion { a.received shouldContain (b.id to ping) }
            }
        }

        it("delivers when both daemons connect at the same time") {
            withTwoLinks { a, b ->
                b.addresses[a.id] = a.address
                a.link.send(b.id, ping)
                b.link.send(a.id, ping)
                awaitAssertion { b.received shouldContain (a.id to ping) }
                awaitAssertion { a.received shouldContain (b.id to ping) }
            }
        }

        it("delivers echoes, because group summaries are not accepted as evidence without them") {
            withTwoLinks { a, b ->
                a.link.send(b.id, PeerMessage.Echo(1))
                awaitAssertion { b.received shouldContain (a.id to PeerMessage.Echo(1)) }
            }
        }

        it("is closed after the idle timeout and reopened for the next message") {
            val settings = PeerLinkSettings("127.0.0.1", 0, idleTimeout = 200.milliseconds)
            LinkFixture("a", settings = settings).start().use { a ->
                LinkFixture("b").start().use { b ->
                    a.addresses[b.id] = b.address
                    a.link.send(b.id, ping)
                    awaitAssertion { a.closed shouldContain b.id }
                    awaitAssertion {
                        a.link.send(b.id, ping)
                        b.received.size shouldBeGreaterThan 1
                    }
                }
            }
        }

        it("is closed by a reconnect and reopened for the next message") {
            withTwoLinks { a, b ->
                a.link.send(b.id, ping)
                awaitAssertion { b.received.size shouldBe 1 }
                a.link.reconnect(b.id)
                awaitAssertion { a.closed shouldContain b.id }
                awaitAssertion {
                    a.link.send(b.id, ping)
                    b.received.size shouldBeGreaterThan 1
                }
            }
        }

        it("is closed by a reconnect even if the peer has stopped reading, so that a partition does not keep it open") {
            LinkFixture("a").start().use { a ->
                RawConnection.open(a.address).use { raw ->
                    raw.authenticate("c")
                    // A message that is sent before the link is established is dropped although the queue is empty.
                    awaitAssertion { a.connected shouldContain DaemonId("c") }
                    awaitAssertion {
                        a.link.send(DaemonId("c"), PeerMessage.Items(listOf(Item("key", 1, content))))
                        a.dropped shouldBeGreaterThan 0
                    }
                    a.link.reconnect(DaemonId("c"))
                    awaitAssertion { a.closed shouldContain DaemonId("c") }
                    withTimeout(10.seconds) { raw.awaitClosed() }
                }
            }
        }

        it("is opened once a daemon that was unreachable is listening again") {
            LinkFixture("a").start().use { a ->
                val settings = PeerLinkSettings("127.0.0.1", FreePorts.next())
                a.addresses[DaemonId("b")] = LinkFixture("b", settings = settings).start().use { it.address }
                a.link.send(DaemonId("b"), ping)
                val restarted = LinkFixture("b", settings = settings)
                awaitAssertion { restarted.start() }
                restarted.use { b ->
                    awaitAssertion {
                        a.link.send(b.id, ping)
                        b.received shouldContain (a.id to ping)
                    }
                }
            }
        }
    }

    describe("a daemon with a different secret") {
        it("cannot deliver or receive messages") {
            LinkFixture("a", "another secret".toByteArray()).start().use { a ->
                LinkFixture("b").start().use { b ->
                    a.addresses[b.id] = b.address
                    RawConnection.open(a.address).use { raw ->
                        runCatching { raw.authenticate("c") }.isFailure shouldBe true
                    }
                    a.link.send(b.id, ping)
                    RawConnection.open(b.address).use { it.authenticate("c") }
                    awaitAssertion { b.closed shouldContain DaemonId("c") }
                    b.received.shouldBeEmpty()
                }
            }
        }
    }

    describe("a frame that violates the protocol") {
        suspend fun assertClosesOnlyItsLink(sendInvalidFrame: suspend (RawConnection) -> Unit) = withTwoLinks { a, b ->
            a.link.send(b.id, ping)
            awaitAssertion { b.received.size shouldBe 1 }
            RawConnection.open(b.address).use { raw ->
                sendInvalidFrame(raw)
                withTimeout(10.seconds) { raw.awaitClosed() }
            }
            a.link.send(b.id, ping)
            awaitAssertion { b.received shouldContainExactly listOf(a.id to ping, a.id to ping) }
            a.closed.shouldBeEmpty()
        }

        it("closes its link when it is a message sent before the handshake") {
            assertClosesOnlyItsLink { raw ->
                val envelope = PeerEnvelope(HybridTime(0, 0, DaemonId("c")), ping)
                raw.frames.write(PeerCodec.encode(PeerEnvelope.serializer(), envelope))
            }
        }

        it("closes its link when it exceeds the size limit of the handshake") {
            assertClosesOnlyItsLink { it.frames.write(ByteArray(PeerFrames.MAXIMUM_HANDSHAKE_BODY_BYTES + 1)) }
        }

        it("closes its link when its body is not valid CBOR") {
            assertClosesOnlyItsLink { raw ->
                raw.authenticate("c")
                raw.frames.write(ByteArray(100) { -1 })
            }
        }

        it("closes its link when it is longer than 2 MiB") {
            assertClosesOnlyItsLink { raw ->
                raw.authenticate("c")
                runCatching { raw.frames.write(ByteArray(PeerFrames.MAXIMUM_BODY_BYTES + 1)) }
            }
        }
    }

    describe("a connection without a handshake") {
        it("is closed after the handshake timeout") {
            val settings = PeerLinkSettings("127.0.0.1", 0, handshakeTimeout = 100.milliseconds)
            LinkFixture("a", settings = settings).start().use { a ->
                RawConnection.open(a.address).use { raw -> withTimeout(10.seconds) { raw.awaitClosed() } }
            }
        }

        it("is closed immediately when the maximum number of handshakes is in progress") {
            val settings = PeerLinkSettings("127.0.0.1", 0, handshakeTimeout = 60.seconds, maximumHandshakes = 1)
            LinkFixture("a", settings = settings).start().use { a ->
                RawConnection.open(a.address).use { first ->
                    first.frames.read(PeerFrames.MAXIMUM_BODY_BYTES)
                    RawConnection.open(a.address).use { withTimeout(10.seconds) { it.awaitClosed() } }
                }
            }
        }
    }
})
