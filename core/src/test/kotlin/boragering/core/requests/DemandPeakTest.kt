package boragering.core.requests

import boragering.core.Header
import boragering.core.RequestResult
import boragering.core.catalogue.RequestLength
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val DAEMONS = 3
private const val GROUPS = 6
private const val SLOTS = 8
private const val BASE_LOAD = 0.25
private const val PEAK_LOAD = 1.25
private const val URGENT_SHARE = 0.3
private val WORK = 400.milliseconds
private val PEAK_FROM = 10.seconds
private val PEAK_TO = 30.seconds
private val REPORT_EVERY = 1.seconds
private val IN_TIME = 820.milliseconds

/** Requests per second that all engines together can answer. */
private val CAPACITY = GROUPS * SLOTS / (WORK / 1.seconds)

private data class Served(val at: Duration, val urgent: Boolean, val result: RequestResult, val first: Duration?)

/**
 * Three daemons that send requests to engines. The engines refuse requests beyond their slots and report their load
 * once a second.
 */
private fun TestScope.harness(): RequestTestHarness {
    // The concurrency limit is far above the capacity, so that only reports and refusals show the engines' capacity.
    val limits = RequestTestHarness.limits(1_000, 1_000, 500.milliseconds, 10.seconds, 100_000)
    val harness =
        RequestTestHarness(this, RequestTestHarness.model(limits, length = RequestLength.SHORT), daemons = DAEMONS)
    var reportedAt = Duration.ZERO
    harness.target.slots = SLOTS
    harness.target.workTime = WORK
    harness.directory.targets = List(GROUPS) { FakeDirectory.candidate("group-$it", SLOTS) }
    harness.directory.age = { harness.clock.monotonic() - reportedAt }
    backgroundScope.launch {
        while (true) {
            delay(REPORT_EVERY)
            reportedAt = harness.clock.monotonic()
            harness.directory.targets = harness.directory.targets.map {
                it.copy(running = harness.target.running[it.address] ?: 0)
            }
        }
    }
    return harness
}

private suspend fun TestScope.sendPeakLoad(harness: RequestTestHarness, served: MutableList<Served>) {
    val random = Random(1)
    while (harness.clock.monotonic() < PEAK_TO) {
        val load = if (harness.clock.monotonic() < PEAK_FROM) BASE_LOAD else PEAK_LOAD
        delay((-ln(1 - random.nextDouble()) / (load * CAPACITY)).seconds)
        val urgent = random.nextDouble() < URGENT_SHARE
        val request = harness.request(headers = listOf(Header("Boragering-Priority", if (urgent) "2" else "0")))
        val daemon = random.nextInt(DAEMONS)
        launch {
            val at = harness.clock.monotonic()
            var first: Duration? = null
            val result = harness.daemons[daemon].executor.serve(request) {
                first = first ?: (harness.clock.monotonic() - at)
            }
            served.add(Served(at, urgent, result, first))
        }
    }
}

class DemandPeakTest : DescribeSpec({
    // Guards against slots that stay idle or are used twice while load reports lag, and against the loss of urgent
    // requests in that time.
    describe("a load that rises to five times its base, above the engines' capacity") {
        it("is answered in time at 95% of that capacity, and no urgent request is lost") {
            val served = ArrayList<Served>()
            lateinit var harness: RequestTestHarness
            runTest {
                harness = harness()
                sendPeakLoad(harness, served)
            }
            val peak = served.filter { it.at >= PEAK_FROM + 2.seconds }
            val inTime = peak.count { it.result == RequestResult.Complete && checkNotNull(it.first) <= IN_TIME }
            val possible = CAPACITY * ((PEAK_TO - PEAK_FROM - 2.seconds) / 1.seconds)
            val lost = served.filter { it.urgent && it.result != RequestResult.Complete }
            val refused = harness.target.refused
            withClue("$inTime of $possible in time, $refused refused by engines, lost ${lost.map { it.result }}") {
                inTime / possible shouldBeGreaterThan 0.95
                lost.size shouldBe 0
            }
        }
    }
})
