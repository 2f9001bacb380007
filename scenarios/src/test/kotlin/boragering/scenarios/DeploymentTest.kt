package boragering.scenarios

import boragering.standins.EngineOrder
import boragering.standins.LiveInstances
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.nio.file.Path
import kotlin.time.Duration.Companion.milliseconds

class DeploymentTest : DescribeSpec({
    val twoEngines = deployment {
        engines("gpu", "rack-a", count = 2) { option("load-time", "10ms") }
    }

    describe("a killed engine") {
        it("keeps its record, and returns as another incarnation at the same address") {
            twoEngines.runPlatform {
                val engine = engines.first()
                ControlClient().use { it.post(engine.ownAddress, "/orders", EngineOrder("release", "g", 7)) }
                val before = engine.status()
                engine.kill()
                engine.restart()

                engine.status().incarnation shouldNotBe before.incarnation
                engine.records().map { it.orders.size } shouldBe listOf(1, 0)
                evidence().absences.single().run { instance to (until != null) } shouldBe (engine.id to true)
            }
        }
    }

    describe("a paused engine") {
        it("does not respond until it is resumed, and is then the same incarnation") {
            twoEngines.runPlatform {
                val engine = engines.last()
                val before = engine.status()
                engine.pause()
                withTimeoutOrNull(observation) { engine.status() } shouldBe null

                engine.resume()
                await("the engine responds") { engine.status() }.incarnation shouldBe before.incarnation
            }
        }
    }

    describe("a proxied pool") {
        it("stands in the live list with the addresses of its links, which can be cut one by one") {
            val plan = deployment {
                services("orders", "rack-b", count = 2) {
                    availabilityZone = "hakodate"
                    proxied = true
                }
            }
            plan.runPlatform {
                ControlClient().use { client ->
                    val listed = client.read<LiveInstances>(liveList.address, "/instances").instances
                    listed.map { it.id to it.address } shouldBe services.map { it.id to it.link?.address }
                    listed.map { it.availabilityZone }.distinct() shouldBe listOf("hakodate")
                    services.first().link?.cut()

                    shouldThrow<IOException> { client.get(services[0].address, "/status") }
                    client.get(services[1].address, "/status").isSuccess shouldBe true
                }
            }
        }
    }

    describe("a failed scenario") {
        it("ends every process, also a paused one") {
            var processes = emptyList<ChildProcess>()
            var logs: Path? = null
            shouldThrow<IllegalStateException> {
                twoEngines.runPlatform {
                    processes = this.processes
                    logs = directory
                    engines.first().pause()
                    error("the scenario fails")
                }
            }.message shouldBe "the scenario fails"

            processes shouldHaveSize STAND_INS
            processes.filter { it.isAlive } shouldHaveSize 0
            logs?.toFile()?.deleteRecursively() shouldBe true
        }
    }
})

/** The store, the live list, the proxy and two engines. */
private const val STAND_INS = 5

/** How long a paused process is observed; being late can only make the test pass, never fail. */
private val observation = 300.milliseconds
