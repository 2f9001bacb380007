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

private fun RequestTestHarness.urgent(urgency: Urgency, organisation: String = "roofing") =
    request(organisation = organisation, headers = listOf(Header("Boragering-Priority", PRIORITIES.getValue(urgency))))

/** A test harness whose two targets have [slots] slots each and need [workTime] for a request. */
private fun TestScope.harness(limits: RequestLimits, slots: Int, workTime: Duration, daemons: Int = 1) =
    RequestTestHarness(
        this,
        RequestTestHarness.model(limits, length = RequestLength.SHORT),
        daemons = daemons,
    ).also { harness ->
        harness.directory.targets = listOf("a", "b").map { FakeDirectory.candidate(it, slots) }
        harness.target.workTime = workTime
    }

private fun TestScope.sendAll(
    harness: RequestTestHarness,
    requests: List<CallerRequest>,
): List<Deferred<RequestResult>> =
    requests.map { async { harness.send(it) } }

private fun List<RequestResult>.problems() = filterIsInstance<RequestResult.Failed>().map { it.problem }

class AdmissionControllerTest : DescribeSpec({
    describe("requests that wait for a slot") {
        it("are served by weight, so that one organisation's burst does not delay the others") {
            runTest {
                val harness =
                    harness(RequestTestHarness.limits(queueLength = 400, queueTime = 60.seconds), 1, 100.milliseconds)
                val large = List(200) { harness.request(organisation = "large") }
                val heavy = List(90) { harness.request(organisation = "heavy") }
                val results = sendAll(harness, large + heavy)
                delay(4.seconds)
                val served = harness.target.runs.groupBy { call -> if (large.any { it.id == call.request }) 1 else 3 }
                served.getValue(3).size shouldBeInRange 3 * served.getValue(1).size - 12..3 * served.getValue(1).size
                results.forEach { it.cancelAndJoin() }
            }
        }

        it("are dropped for more urgent ones, and no urgent one is lost while others wait") {
            runTest {
                val harness =
                    harness(RequestTestHarness.limits(queueLength = 20, queueTime = 20.seconds), 1, 100.milliseconds)
                val batch = sendAll(harness, List(40) { harness.urgent(Urgency.BATCH) })
                delay(50.milliseconds)
                val urgent = sendAll(harness, List(20) { harness.urgent(Urgency.URGENT) })
                urgent.awaitAll().problems().shouldBeEmpty()
                val shed = batch.awaitAll().problems()
                shed shouldHaveSize 38
                shed.forEach { it.outcome shouldBe Outcome.NOT_RUN }
                shed.forEach { (it.retryAfterSeconds ?: 0) shouldBeInRange 1..20 }
            }
        }

        it("are refused at the end of the queue time, not later") {
            runTest {
                val harness = harness(RequestTestHarness.limits(queueTime = 300.milliseconds), 1, 5.seconds)
                val results = sendAll(harness, List(3) { harness.request() })
                val problem = (results.last().await() as RequestResult.Failed).problem
                testScheduler.currentTime shouldBe 300L
                problem.kind shouldBe ProblemKind.OVERLOADED
                problem.outcome shouldBe Outcome.NOT_RUN
                results.forEach { it.cancelAndJoin() }
            }
        }

        it("fail if there is no target, or get a target that becomes usable") {
            runTest {
                val harness = harness(RequestTestHarness.limits(queueTime = 1.seconds), 1, 10.milliseconds)
                val targets = harness.directory.targets
                harness.directory.targets = emptyList()
                (harness.send(harness.request()) as RequestResult.Failed).problem.kind shouldBe ProblemKind.NO_TARGET
                val waiting = async { harness.send(harness.request()) }
                delay(500.milliseconds)
                harness.directory.targets = targets
                waiting.await() shouldBe RequestResult.Complete
            }
        }
    }

    describe("the expected wait") {
        it("causes immediate refusals, with a time after which requests are accepted again") {
            runTest {
                val limits = RequestTestHarness.limits(queueLength = 1_000, queueTime = 2.seconds)
                val harness = harness(limits, 1, 500.milliseconds)
                repeat(5) { harness.send(harness.request()) }
                val results = sendAll(harness, List(60) { harness.request() })
                delay(1.milliseconds)
                val refused = results.filter { it.isCompleted }.map { it.await() }.problems()
                refused.size shouldBeInRange 45..55
                delay(checkNotNull(refused.first().retryAfterSeconds).seconds)
                harness.send(harness.request()) shouldBe RequestResult.Complete
                results.awaitAll().problems() shouldHaveSize refused.size
            }
        }

        it("causes the refusal of requests whose deadline cannot be met") {
            runTest {
                val limits = RequestTestHarness.limits(queueTime = 10.seconds, deadline = 1.seconds)
                val harness = harness(limits, 1, 400.milliseconds)
                repeat(5) { harness.send(harness.request()) }
                val results = sendAll(harness, List(20) { harness.request() })
                delay(1.milliseconds)
                results.count { it.isCompleted }.toDouble() shouldBeGreaterThan 10.0
                results.awaitAll().problems().map { it.outcome }.toSet() shouldBe setOf(Outcome.NOT_RUN)
            }
        }
    }

    describe("limits for the whole system") {
        it("are divided by the number of live daemons, rounded up") {
            runTest {
                val harness =
                    harness(RequestTestHarness.limits(concurrency = 7, queueLength = 3), 8, 1.seconds, daemons = 2)
                val results = sendAll(harness, List(8) { harness.request() })
                delay(500.milliseconds)
                harness.daemons[0].admission.counts(EntryName("kotoba-pool")) shouldBe AdmissionCounts(2, 4)
                results.awaitAll().problems() shouldHaveSize 2
            }
        }

        it("apply to each organisation's rate, and a refused caller is told when to retry") {
            runTest {
                val harness = harness(RequestTestHarness.limits(requestsPerSecond = 5), 8, 1.milliseconds)
                val results = sendAll(harness, List(10) { harness.request() }).awaitAll()
                results.problems().map { it.kind to it.retryAfterSeconds }.toSet() shouldBe
                    setOf(ProblemKind.RATE_LIMITED to 1)
                results.problems() shouldHaveSize 5
                harness.send(harness.request(organisation = "bridges")) shouldBe RequestResult.Complete
                delay(1.seconds)
                harness.send(harness.request()) shouldBe RequestResult.Complete
            }
        }
    }

    describe("a target's capacity") {
        it("is lowered by refusals, so that requests wait in the daemon instead of being refused by the target") {
            runTest {
                val harness = harness(RequestTestHarness.limits(), 64, 50.milliseconds)
                harness.target.faults = (1..4).associateWith { TargetFault.REFUSED }
                sendAll(harness, List(40) { harness.request() }).awaitAll().problems().shouldBeEmpty()
                harness.target.sent.size shouldBeLessThanOrEqual 44
            }
        }

        it("is reduced by the requests of other daemons, but not twice by this daemon's own requests") {
            runTest {
                val harness = harness(RequestTestHarness.limits(), 4, 5.seconds)
                harness.directory.targets = listOf(FakeDirectory.candidate("a", slots = 4).copy(running = 3))
                val results = sendAll(harness, List(4) { harness.request() })
                delay(20.milliseconds)
                harness.target.sent shouldHaveSize 1
                delay(100.milliseconds)
                harness.directory.targets = listOf(FakeDirectory.candidate("a", slots = 4).copy(running = 1))
                delay(100.milliseconds)
                harness.target.sent shouldHaveSize 4
                results.forEach { it.cancelAndJoin() }
            }
        }
    }
})
