package boragering.gateway

import boragering.fleet.ColdStartProfile
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.seconds

class EvacuationTest : DescribeSpec({
    fun target(zone: String, script: Script.(Int) -> Unit = { answer(200, "done") }) =
        ScriptedTarget(script).also { it.zone = zone }

    /** Eight callers send [count] requests each at the same time; returns the statuses of all responses. */
    fun GatewayFixture.load(count: Int): Map<Int, Int> {
        fun statuses(): List<Int> = caller().use { caller -> List(count) { caller.call("/idempotent/a").status } }

        val callers = (1..8).map { CompletableFuture.supplyAsync(::statuses) }
        return callers.flatMap { it.get() }.groupingBy { it }.eachCount()
    }

    describe("callers of targets in two availability zones") {
        it("are all served while each zone is evacuated in turn (guards against requests there and against refusals)") {
            val near = target("z")
            val far = target("far")
            GatewayFixture(near, far).use { gateway ->
                gateway.load(20) shouldBe mapOf(200 to 160)
                listOf(near to "z", far to "far").forEach { (target, zone) ->
                    gateway.evacuate(zone)
                    gateway.gateway.evacuatedTargets shouldBe 1
                    val before = target.requests.size
                    gateway.load(20) shouldBe mapOf(200 to 160)
                    target.requests.size shouldBe before
                }
                gateway.evacuate()
                val before = far.requests.size
                gateway.load(40) shouldBe mapOf(200 to 320)
                far.requests.size shouldBeGreaterThan before
            }
        }

        it("get a retry or the rest of a stream from an open zone (guards against resuming in an evacuated one)") {
            val began = CountDownLatch(1)
            val evacuated = CountDownLatch(1)
            val near = target("z") {
                beginStream()
                event("id: 1\ndata: a\n\n")
                began.countDown()
                evacuated.await()
                reset()
            }
            val second = target("y") { answer(200, "not expected") }
            val open = target("x") {
                beginStream()
                event("id: 2\ndata: b\n\n")
                endStream()
            }
            GatewayFixture(near, second, open, attempts = 3).use { gateway ->
                gateway.evacuate("y", "x")
                val caller = gateway.caller()
                caller.request("/resumable_stream/a")
                began.await()
                gateway.evacuate("z", "y")
                evacuated.countDown()
                caller.answer().shouldNotBeNull().body shouldContain "data: b"
            }
            second.requests.shouldBeEmpty()
        }

        it("are refused as not run if both are evacuated (guards against orders that may have run)") {
            val near = target("z")
            val far = target("far")
            GatewayFixture(near, far).use { gateway ->
                gateway.evacuate("z", "far")
                val refusal = gateway.caller().call("/non_idempotent/a")
                refusal.status shouldBe 503
                refusal.header("Retry-After").shouldNotBeNull().toDouble() shouldBeGreaterThan 0.0
                gateway.evacuate("far")
                gateway.caller().call("/non_idempotent/a").status shouldBe 200
            }
            far.requests.shouldBeEmpty()
        }
    }

    describe("a zone that is reopened") {
        it("gets what cold instances sustain at first (guards against a rush to instances that come back cold)") {
            val near = target("z")
            val far = target("far")
            GatewayFixture(near, far, configured = false).use { gateway ->
                gateway.coldStart = ColdStartProfile(3.seconds, requestsPerSecond = 4.0)
                gateway.configure()
                gateway.clock.stop()
                gateway.evacuate("z")
                gateway.evacuate()
                repeat(40) { gateway.caller().use { it.call("/idempotent/a").status shouldBe 200 } }
                near.requests.size shouldBeLessThanOrEqual 6
            }
        }
    }

    describe("a gateway that starts while a zone is evacuated") {
        it("serves from the open zones only (guards against requests before the evacuation is known)") {
            val near = target("z")
            val far = target("far")
            GatewayFixture(near, far, configured = false).use { gateway ->
                gateway.evacuate("z")
                gateway.configure()
                gateway.load(5) shouldBe mapOf(200 to 40)
            }
            near.requests.shouldBeEmpty()
        }
    }
})
