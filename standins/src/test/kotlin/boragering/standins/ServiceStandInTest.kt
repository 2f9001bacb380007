package boragering.standins

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.ktor.client.request.header
import io.ktor.client.statement.bodyAsText
import java.io.IOException

class ServiceStandInTest : DescribeSpec({
    describe("a request that is run before its connection is closed") {
        it("stands in the record as run, with its key, and its order can be read") {
            withStandIns {
                val service = start(serviceStandIn()::serve)
                put(service, "/control/faults", ServiceFaults(runThenClose = 1))

                shouldThrow<IOException> {
                    post(service, "/orders", "spikes") { header("Idempotency-Key", "key-1") }
                }

                val run = read<ServiceRecord>(service, "/control/record").requests.single()
                run.idempotencyKey shouldBe "key-1"
                run.responseLost shouldBe true
                read<BookedOrder>(service, "/orders/${run.number}").body shouldBe "\"spikes\""
            }
        }
    }

    describe("a refusal") {
        it("promises that the request was not run and keeps the promise") {
            withStandIns {
                val service = start(serviceStandIn()::serve)
                put(service, "/control/faults", ServiceFaults(refuse = 1))
                val response = post(service, "/orders", "spikes")

                response.status.value shouldBe 503
                response.headers["Boragering-Not-Run"] shouldBe "true"
                read<ServiceRecord>(service, "/control/record").requests.shouldBeEmpty()
            }
        }
    }

    describe("an order") {
        it("gets a number of its own for each booking, whatever its key") {
            withStandIns {
                val service = start(serviceStandIn()::serve)
                val numbers = List(2) {
                    val response = post(service, "/orders", "spikes") { header("Idempotency-Key", "key-1") }
                    standInJson.decodeFromString<BookedOrder>(response.bodyAsText()).number
                }

                numbers shouldBe listOf("s-0.1", "s-0.2")
            }
        }
    }
})

private fun serviceStandIn() = ServiceStandIn("s-0", "incarnation-0", ServiceOptions(), OrderBook())
