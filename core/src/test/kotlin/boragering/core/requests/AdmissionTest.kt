package boragering.core.requests

import boragering.core.CallerRequest
import boragering.core.EntryName
import boragering.core.Header
import boragering.core.Outcome
import boragering.core.ProblemKind
import boragering.core.RequestResult
import boragering.core.catalogue.RequestLength
import boragering.core.catalogue.RequestLimits
import boragering.core.catalogue.Urgency
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val PRIORITIES = mapOf(Urgency.BATCH to "0", Urgency.NORMAL to "1", Urgency.URGENT to "2")

private fun RequestWorld.urgent(urgency: Urgency, organisation: String = "roofing") =
    request(organisation = organisation, headers = listOf(Header("Boragering-Priority", PRIORITIES.getValue(urgency))))

/** A world whose two targets have [slots] slots each and need [workTime] for a request. */
private fun TestScope.world(limits: RequestLimits, slots: Int, workTime: Duration, daemons: Int = 1) =
    RequestWorld(this, RequestWorld.model(limits, length = RequestLength.SHORT), daemons = daemons).also { world ->
        world.directory.targets = listOf("a", "b").map { FakeDirectory.candidate(it, slots) }
        world.target.workTime = workTime
    }

private fun TestScope.sendAll(world: RequestWorld, requests: List<CallerRequest>): List<Deferred<RequestResult>> =
    requests.map { async { world.send(it) } }

private fun List<RequestResult>.problems() = filterIsInstance<RequestResult.Failed>().map { it.problem }

class AdmissionTest : DescribeSpec({
    describe("requests that wait for a slot") {
        it("are served by weight, so that one organisation's burst does not delay the others") {
            runTest {
                val world = world(RequestWorld.limits(queueLength = 400, queueTime = 60.seconds), 1, 100.milliseconds)
                val large = List(200) { world.request(organisation = "large") }
                val heavy = List(90) { world.request(organisation = "heavy") }
                val results = sendAll(world, large + heavy)
                delay(4.seconds)
                val served = world.target.runs.groupBy { call -> if (large.any { it.id == call.request }) 1 else 3 }
                served.getValue(3).size shouldBeInRange 3 * served.getValue(1).size - 12..3 * served.getValue(1).size
                results.forEach { it.cancelAndJoin() }
            }
        }

        it("give way to more urgent ones, and no urgent one is lost while others wait") {
            runTest {
                val world = world(RequestWorld.limits(queueLength = 20, queueTime = 20.seconds), 1, 100.milliseconds)
                val batch = sendAll(world, List(40) { world.urgent(Urgency.BATCH) })
                delay(50.milliseconds)
                val urgent = sendAll(world, List(20) { world.urgent(Urgency.URGENT) })
                urgent.awaitAll().problems().shouldBeEmpty()
                val shed = batch.awaitAll().problems()
                shed shouldHaveSize 38
                shed.forEach { it.outcome shouldBe Outcome.NOT_RUN }
                shed.forEach { (it.retryAfterSeconds ?: 0) shouldBeInRange 1..20 }
            }
        }

        it("get their answer at the end of the queue time, not later") {
            runTest {
                val world = world(RequestWorld.limits(queueTime = 300.milliseconds), 1, 5.seconds)
                val results = sendAll(world, List(3) { world.request() })
                val problem = (results.last().await() as RequestResult.Failed).problem
                testScheduler.currentTime shouldBe 300L
                problem.kind shouldBe ProblemKind.OVERLOADED
                problem.outcome shouldBe Outcome.NOT_RUN
                results.forEach { it.cancelAndJoin() }
            }
        }

        it("are told that there is no target, or get one that becomes usable") {
            runTest {
                val world = world(RequestWorld.limits(queueTime = 1.seconds), 1, 10.milliseconds)
                val targets = world.directory.targets
                world.directory.targets = emptyList()
                (world.send(world.request()) as RequestResult.Failed).problem.kind shouldBe ProblemKind.NO_TARGET
                val waiting = async { world.send(world.request()) }
                delay(500.milliseconds)
                world.directory.targets = targets
                waiting.await() shouldBe RequestResult.Complete
            }
        }
    }

    describe("the expected wait") {
        it("turns requests away at once, with a time after which they would be accepted") {
            runTest {
                val limits = RequestWorld.limits(queueLength = 1_000, queueTime = 2.seconds)
                val world = world(limits, 1, 500.milliseconds)
                repeat(5) { world.send(world.request()) }
                val results = sendAll(world, List(60) { world.request() })
                delay(1.milliseconds)
                val refused = results.filter { it.isCompleted }.map { it.await() }.problems()
                refused.size shouldBeInRange 45..55
                delay(checkNotNull(refused.first().retryAfterSeconds).seconds)
                world.send(world.request()) shouldBe RequestResult.Complete
                results.awaitAll().problems() shouldHaveSize refused.size
            }
        }

        it("turns requests away whose deadline cannot be met") {
            runTest {
                val limits = RequestWorld.limits(queueTime = 10.seconds, deadline = 1.seconds)
                val world = world(limits, 1, 400.milliseconds)
                repeat(5) { world.send(world.request()) }
                val results = sendAll(world, List(20) { world.request() })
                delay(1.milliseconds)
                results.count { it.isCompleted }.toDouble() shouldBeGreaterThan 10.0
                results.awaitAll().problems().map { it.outcome }.toSet() shouldBe setOf(Outcome.NOT_RUN)
            }
        }
    }

    describe("limits for the whole system") {
        it("are divided by the number of live daemons, rounded up") {
            runTest {
                val world = world(RequestWorld.limits(concurrency = 7, queueLength = 3), 8, 1.seconds, daemons = 2)
                val results = sendAll(world, List(8) { world.request() })
                delay(500.milliseconds)
                world.daemons[0].admission.counts(EntryName("kotoba-pool")) shouldBe AdmissionCounts(2, 4)
                results.awaitAll().problems() shouldHaveSize 2
            }
        }

        it("hold for each organisation's rate, and the refused caller is told when to come back") {
            runTest {
                val world = world(RequestWorld.limits(requestsPerSecond = 5), 8, 1.milliseconds)
                val results = sendAll(world, List(10) { world.request() }).awaitAll()
                results.problems().map { it.kind to it.retryAfterSeconds }.toSet() shouldBe
                    setOf(ProblemKind.RATE_LIMITED to 1)
                results.problems() shouldHaveSize 5
                world.send(world.request(organisation = "bridges")) shouldBe RequestResult.Complete
                delay(1.seconds)
                world.send(world.request()) shouldBe RequestResult.Complete
            }
        }
    }

    describe("a target's capacity") {
        it("is lowered by refusals, so that requests wait here instead of being sent in vain") {
            runTest {
                val world = world(RequestWorld.limits(), 64, 50.milliseconds)
                world.target.faults = (1..4).associateWith { TargetFault.REFUSED }
                sendAll(world, List(40) { world.request() }).awaitAll().problems().shouldBeEmpty()
                world.target.sent.size shouldBeLessThanOrEqual 44
            }
        }

        it("counts what other daemons run there, but not this daemon's own requests a second time") {
            runTest {
                val world = world(RequestWorld.limits(), 4, 5.seconds)
                world.directory.targets = listOf(FakeDirectory.candidate("a", slots = 4).copy(running = 3))
                val results = sendAll(world, List(4) { world.request() })
                delay(20.milliseconds)
                world.target.sent shouldHaveSize 1
                delay(100.milliseconds)
                world.directory.targets = listOf(FakeDirectory.candidate("a", slots = 4).copy(running = 1))
                delay(100.milliseconds)
                world.target.sent shouldHaveSize 4
                results.forEach { it.cancelAndJoin() }
            }
        }
    }
})
