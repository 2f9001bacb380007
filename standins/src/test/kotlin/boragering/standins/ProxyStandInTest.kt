package boragering.standins

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.ktor.client.statement.bodyAsText
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readLine
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.milliseconds

class ProxyStandInTest : DescribeSpec({
    describe("a stalled direction") {
        it("holds its bytes while the other direction flows, and delivers them in order afterwards") {
            withLink {
                val connection = aSocket(harness.selector).tcp().connect(LOOPBACK, link.port)
                val output = connection.openWriteChannel(autoFlush = true)
                val input = connection.openReadChannel()
                output.writeStringUtf8("1\n")
                input.readLine() shouldBe "1"
                set(LinkFaults(toClient = DirectionFaults(stalled = true)))
                output.writeStringUtf8("2\n")
                output.writeStringUtf8("3\n")
                val next = harness.scope.async { input.readLine() }
                eventually(waitLimit) { received() shouldBe listOf("1", "2", "3") }
                withTimeoutOrNull(observation) { next.await() } shouldBe null

                set(LinkFaults())

                withTimeout(waitLimit) { listOf(next.await(), input.readLine()) } shouldBe listOf("2", "3")
            }
        }
    }

    describe("a cut link") {
        it("closes its connections, refuses new ones, and works again on the same port") {
            withLink {
                val connection = aSocket(harness.selector).tcp().connect(LOOPBACK, link.port)
                connection.openWriteChannel(autoFlush = true).writeStringUtf8("1\n")
                val input = connection.openReadChannel()
                input.readLine() shouldBe "1"

                set(LinkFaults(cut = true))

                withTimeout(waitLimit) { runCatching { input.readLine() }.getOrNull() } shouldBe null
                eventually(waitLimit) {
                    shouldThrow<IOException> { aSocket(harness.selector).tcp().connect(LOOPBACK, link.port) }
                }
                set(LinkFaults())
                eventually(waitLimit) { aSocket(harness.selector).tcp().connect(LOOPBACK, link.port).close() }
            }
        }
    }
})

/** How long a stalled direction is observed; a fault could only make the test pass, never fail. */
private val observation = 100.milliseconds

/** A proxy with one link to a server that returns every line. */
private class LinkFixture(val harness: StandInHarness, val control: String, val link: LinkState) {
    val lines = CopyOnWriteArrayList<String>()

    fun received(): List<String> = lines.toList()

    suspend fun set(faults: LinkFaults) = harness.put(control, "/control/links/${link.index}", faults)
}

private suspend fun withLink(test: suspend LinkFixture.() -> Unit) = withStandIns {
    val server = aSocket(selector).tcp().bind(LOOPBACK, 0)
    val port = (server.localAddress as InetSocketAddress).port
    val control = start(ProxyStandIn(scope, selector)::serve)
    val body = post(control, "/control/links", LinkRequest("$LOOPBACK:$port")).bodyAsText()
    val fixture = LinkFixture(this, control, standInJson.decodeFromString(body))
    scope.launch {
        val socket = server.accept()
        val output = socket.openWriteChannel(autoFlush = true)
        val input = socket.openReadChannel()
        while (true) {
            val line = input.readLine() ?: break
            fixture.lines += line
            output.writeStringUtf8("$line\n")
        }
        socket.close()
    }
    server.use { fixture.test() }
}
