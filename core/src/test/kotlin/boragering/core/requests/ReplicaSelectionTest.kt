package boragering.core.requests

import boragering.core.GroupId
import boragering.core.RequestId
import boragering.core.RequestResult
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val GROUPS = 4
private const val SLOTS = 8
private const val LOAD = 0.9
private const val LONG_SHARE = 0.05
private val RUN = 200.seconds
private val SHORT = 400.milliseconds
private val LONG = SHORT * 20

/** Times to the first token of short requests, and numbers of long requests that were sent and answered. */
private class Measured {
    val firstTokens = ArrayList<Duration>()
    var long = 0
    var longAnswered = 0

    val percentile95 get() = firstTokens.sorted()[firstTokens.size * 95 / 100]
}

/** Sends requests for 200 s at 90% of the slots' capacity. The fraction [longShare] of them is long. */
private fun Measured.run(selection: ReplicaSelection, longShare: Double, seed: Int) = runTest(timeout = 60.seconds) {
    val limits = RequestTestHarness.limits(1_000, 10_000, 10.seconds, 60.seconds, 100_000)
    val harness = RequestTestHarness(this, RequestTestHarness.model(limits), seed, selection = selection)
    harness.directory.targets = List(GROUPS) { FakeDirectory.candidate("group-$it", SLOTS) }
    val long = HashSet<RequestId>()
    harness.target.work = { if (it.request in long) LONG to 1_280 else SHORT to 64 }
    val random = Random(seed)
    val rate = LOAD * GROUPS * SLOTS / ((SHORT * (1 - longShare) + LONG * longShare) / 1.seconds)
    while (testScheduler.currentTime < RUN.inWholeMilliseconds) {
        delay((-ln(1 - random.nextDouble()) / rate).seconds)
        val isLong = random.nextDouble() < longShare
        val request = harness.request(outputTokens = if (isLong) 1_500 else 100)
        if (isLong) long.add(request.id)
        val sentAt = harness.clock.monotonic()
        launch {
            var first: Duration? = null
            val result = harness.daemons[0].executor.serve(request) {
                first = first ?: (harness.clock.monotonic() - sentAt)
            }
            if (isLong) this@run.long++ else firstTokens.add(first ?: Duration.INFINITE)
            if (isLong && result == RequestResult.Complete) longAnswered++
        }
    }
}

private fun measure(selection: ReplicaSelection, longShare: Double) =
    Measured().apply { for (seed in 1..3) run(selection, longShare, seed) }

class ReplicaSelectionTest : DescribeSpec({
    describe("short requests at 90% of capacity with 5% long ones") {
        // Guards against head-of-line blocking, in which a few long requests hold the slots that short requests need.
        it("get their first token nearly as soon as without long ones, and the long ones are answered too") {
            val without = measure(ReplicaSelection.PowerOfTwoChoices, longShare = 0.0).percentile95
            val baseline = measure(ReplicaSelection.LeastInFlight, LONG_SHARE)
            val confined = measure(ReplicaSelection.PowerOfTwoChoices, LONG_SHARE)
            withClue("without $without, baseline ${baseline.percentile95}, confined ${confined.percentile95}") {
                confined.percentile95 shouldBeLessThanOrEqualTo 820.milliseconds
                confined.percentile95 / without shouldBeLessThan 1.25
                baseline.percentile95 / without shouldBeGreaterThan 1.25
                confined.longAnswered.toDouble() / confined.long shouldBeGreaterThan 0.98
            }
        }
    }

    describe("a target") {
        it("is ejected if it is slow, and later tried again") {
            runTest {
                val harness = harness()
                harness.target.work = { (if (it.address == "group-0:80") 1.seconds else 50.milliseconds) to 2 }
                harness.target.firstPart = { if (it.address == "group-0:80") 1.seconds else 50.milliseconds }
                repeat(60) {
                    List(6) { async { harness.send(harness.request()) } }.awaitAll()
                }
                harness.metrics.ejected.toSet() shouldBe setOf(GroupId("group-0"))
                val before = harness.target.sent.count { it.address == "group-0:80" }
                delay(60.seconds)
                repeat(20) { List(6) { async { harness.send(harness.request()) } }.awaitAll() }
                harness.target.sent.count { it.address == "group-0:80" } shouldBeGreaterThan before
            }
        }

        it("is not ejected beyond a third of the entry's targets, however many fail") {
            runTest {
                val harness = harness()
                harness.target.defaultFault = TargetFault.BROKEN_AFTER_RUN
                repeat(40) { harness.send(harness.request()) }
                harness.metrics.ejected shouldHaveSize 2
            }
        }

        it("gets fewer requests than the others if its report shows load") {
            runTest {
                val harness = harness()
                harness.directory.targets = harness.directory.targets.mapIndexed { index, candidate ->
                    if (index == 0) candidate.copy(running = 6) else candidate
                }
                repeat(100) { List(3) { async { harness.send(harness.request()) } }.awaitAll() }
                harness.target.sent.count { it.address == "group-0:80" } shouldBeLessThan 300 / 6 / 2
            }
        }
    }
})

/** A test harness with six targets. */
private fun TestScope.harness() = RequestTestHarness(this, RequestTestHarness.model()).also { harness ->
    harness.directory.targets = List(6) { FakeDirectory.candidate("group-$it", SLOTS) }
}
