package boragering.gateway

import boragering.adapters.FreePorts
import boragering.adapters.SystemClock
import boragering.fleet.Address
import com.sun.net.httpserver.HttpServer
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.seconds

class ConnectionPoolTest : DescribeSpec({
    /** Serves [address] while [action] runs. */
    suspend fun serving(address: InetSocketAddress, action: suspend (Address) -> Unit) {
        val server = HttpServer.create(address, 0)
        server.createContext("/") { it.use { exchange -> exchange.sendResponseHeaders(200, -1) } }
        server.start()
        try {
            action(Address(server.address.hostString, server.address.port))
        } finally {
            server.stop(0)
        }
    }

    describe("a server that refused connections") {
        it("is called again when it accepts them (guards against connections that count although they never opened)") {
            GatewayLoop(SystemClock).use { loop ->
                val calls = HttpCallClient(loop, connectTimeout = 1.seconds)
                lateinit var closed: Address
                serving(InetSocketAddress("127.0.0.1", FreePorts.next())) { closed = it }
                repeat(MORE_THAN_ALLOWED) {
                    val failure = calls.send(closed, HttpCall("GET", "/"), 10.seconds).leftOrNull()
                    failure.shouldBeInstanceOf<HttpFailure.NotSent>()
                }
                serving(InetSocketAddress(closed.host, closed.port)) {
                    calls.send(it, HttpCall("GET", "/"), 10.seconds).getOrNull()?.status shouldBe 200
                }
            }
        }
    }
})

/** More connections than the client opens to one address. */
private const val MORE_THAN_ALLOWED = 40
