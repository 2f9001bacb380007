package boragering.gateway

import boragering.adapters.SystemClock
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.runBlocking
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** A target whose response to the request with [number] has [status]. */
private class InvalidTarget(status: String, body: String, private val number: Int) {
    private val left = CompletableFuture<Boolean>()
    val target = ScriptedTarget { current ->
        if (current == number) {
            val head = "HTTP/1.1 $status X\r\nId: ${request.header("id")}\r\nSignature: s\r\n"
            write(head + "Content-Length: ${body.length}\r\n\r\n$body")
            // A target that waits for the next request shows whether the gateway waits for it.
            left.complete(closedWithin(milliseconds = 700))
            close()
        } else {
            answer(200, "done")
        }
    }

    /** Checks that the gateway closed the connection on which it got the invalid status, if it got one. */
    fun checkLeft() {
        if (target.requests.size >= number) left.get(10, TimeUnit.SECONDS) shouldBe true
    }
}

/** Targets whose responses have a status that is no final HTTP status. */
class InvalidStatusTest : DescribeSpec({
    val statuses = listOf("000", "099", "101", "600", "999")
    val bodies = listOf("", "no body of a response")

    /** The last response to [count] requests on [path], for which no time passes, so that no time limit ends a wait. */
    fun GatewayFixture.lastAnswer(path: String, count: Int): ReadMessage {
        clock.stop()
        val caller = caller()
        repeat(count - 1) {
            caller.id = "earlier-$it"
            caller.call(path).status shouldBe 200
        }
        caller.id = "last"
        return caller.call(path)
    }

    for (status in statuses) {
        for (body in bodies) {
            for (number in 1..2) {
                val connection = if (number == 1) "a fresh" else "a kept"
                describe("status $status with ${body.length} bytes on $connection connection") {
                    it("leads to 502 at once if the request may have run (guards against waits and invalid answers)") {
                        val broken = InvalidTarget(status, body, number)
                        GatewayFixture(broken.target).use { gateway ->
                            gateway.lastAnswer("/non_idempotent/a", number).status shouldBe 502
                        }
                        broken.checkLeft()
                    }

                    it("is followed by the answer of another target (guards against needless 502)") {
                        val broken = InvalidTarget(status, body, number)
                        repeat(4) {
                            GatewayFixture(broken.target, ScriptedTarget { answer(200, "done") }).use { gateway ->
                                val answer = gateway.lastAnswer("/idempotent/a", number)
                                answer.status shouldBe 200
                                answer.body shouldBe "done"
                            }
                        }
                        broken.checkLeft()
                    }
                }
            }
        }

        describe("status $status of a response to a call of the gateway itself") {
            it("is a failure (guards against documents that are read from no response)") {
                GatewayLoop(SystemClock).use { loop ->
                    val broken = InvalidTarget(status, body = "[]", number = 1)
                    broken.target.use { server ->
                        val call = HttpCall("GET", "/documents")
                        val calls = HttpCallClient(loop, connectTimeout = 5.seconds)
                        val result = runBlocking { calls.send(server.address, call, timeout = 10.seconds) }
                        result.leftOrNull().shouldBeInstanceOf<HttpFailure.Unreadable>()
                        broken.checkLeft()
                    }
                }
            }
        }
    }
})
