package boragering.gateway

import boragering.adapters.SystemClock
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.runBlocking
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

/** Shorter than the time after which a silent target is left. */
private val MAX_TIME = 700.milliseconds

/** Targets whose responses have a status that is no final HTTP status. */
class InvalidStatusTest : DescribeSpec({
    val statuses = listOf("000", "099", "101", "600", "999")
    val bodies = listOf("", "no body of a response")

    /** A target whose response to the request with [number] has [status]. */
    fun invalid(status: String, body: String, number: Int) = ScriptedTarget { current ->
        if (current == number) {
            val head = "HTTP/1.1 $status X\r\nId: ${request.header("id")}\r\nSignature: s\r\n"
            write(head + "Content-Length: ${body.length}\r\n\r\n$body")
            // A target that waits for the next request shows whether the gateway waits for its deadline.
            closedWithin(milliseconds = 3_000)
            close()
        } else {
            answer(200, "done")
        }
    }

    /** The last response to [count] requests on [path], and the time until it was complete. */
    fun GatewayFixture.timedCall(path: String, count: Int) = caller().let { caller ->
        repeat(count - 1) {
            caller.id = "earlier-$it"
            caller.call(path).status shouldBe 200
        }
        caller.id = "last"
        measureTimedValue { caller.call(path) }
    }

    for (status in statuses) {
        for (body in bodies) {
            for (number in 1..2) {
                val connection = if (number == 1) "a fresh" else "a kept"
                describe("status $status with ${body.length} bytes on $connection connection") {
                    it("leads to 502 at once if the request may have run (guards against waits and invalid answers)") {
                        GatewayFixture(invalid(status, body, number)).use { gateway ->
                            val (answer, time) = gateway.timedCall("/non_idempotent/a", number)
                            answer.status shouldBe 502
                            time shouldBeLessThan MAX_TIME
                        }
                    }

                    it("is followed by the answer of another target (guards against needless 502)") {
                        val broken = invalid(status, body, number)
                        repeat(4) {
                            GatewayFixture(broken, ScriptedTarget { answer(200, "done") }).use { gateway ->
                                val (answer, time) = gateway.timedCall("/idempotent/a", number)
                                answer.status shouldBe 200
                                answer.body shouldBe "done"
                                time shouldBeLessThan MAX_TIME
                            }
                        }
                    }
                }
            }
        }

        describe("status $status of a response to a call of the gateway itself") {
            it("is a failure (guards against documents that are read from no response)") {
                GatewayLoop(SystemClock).use { loop ->
                    invalid(status, body = "[]", number = 1).use { server ->
                        val call = HttpCall("GET", "/documents")
                        val result =
                            runBlocking { HttpCallClient(loop, 400.milliseconds).send(server.address, call, 1.seconds) }
                        result.leftOrNull().shouldBeInstanceOf<HttpFailure.Unreadable>()
                    }
                }
            }
        }
    }
})
