package boragering.fleet

import boragering.core.OrganisationName
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val large = OrganisationName("large")
private val small = OrganisationName("small")

/** A lane with one target, where [large] has had more than its share; others lack capacity if [short] is set. */
private class LaneFixture(short: Boolean = true) {
    val lane = AdmissionLane(Random(1))
    var occupancy = 2.0

    init {
        repeat(20) {
            lane.demand.shares.recordRequest(if (it % 2 == 0) large else small, START)
            lane.demand.recordResult(SendResult.SENT, Request(large, CallerAttempt.First).admission, START)
        }
        if (short) recordShortages()
    }

    /** Records shortages until the limit of [large] is at its lowest. */
    private fun recordShortages() = repeat(8) {
        lane.demand.headroom.recordShortage(RANK_WITHIN_SHARE, START - 100.milliseconds * (8 - it))
    }

    inner class Request(organisation: OrganisationName, caller: CallerAttempt) : PendingRequest {
        var attempts = 0
        var sent = false
        override val admission = AdmissionRequest(organisation, URGENCY, 2.seconds, START, START + 8.seconds, caller)

        override fun trySend(): SendResult {
            attempts += 1
            sent = occupancy < lane.demand.occupancyLimit(admission, START)
            return if (sent) SendResult.SENT else SendResult.FULL
        }

        override fun onQueued(position: Int, expectedWait: Duration) = Unit

        override fun onDequeued() = Unit

        override fun reject(rejection: AdmissionRejection) = Unit
    }

    /** Adds a request that waits because the target is full. */
    fun waiting(organisation: OrganisationName, caller: CallerAttempt) =
        Request(organisation, caller).also { lane.offer(it, START) }

    companion object {
        val START = 100.seconds
        const val URGENCY = 1
        const val RANK_WITHIN_SHARE = 2
    }
}

class AdmissionLaneTest : DescribeSpec({
    val returned = CallerAttempt.Returned(900.milliseconds)

    describe("a request at the lower limit of an organisation beyond its share that goes first") {
        val fixture = LaneFixture()
        val first = fixture.waiting(large, returned)
        val second = fixture.waiting(small, CallerAttempt.First)
        fixture.occupancy = 1.0
        fixture.lane.wake(LaneFixture.START)

        it("keeps its limit (guards against reserves that a return uses up)") { first.sent shouldBe false }

        it("does not hold up one with a higher limit (guards against free capacity that stays unused)") {
            second.sent shouldBe true
        }
    }

    describe("requests of two limits that all find no capacity") {
        val fixture = LaneFixture()
        val callers = listOf(large to returned, small to CallerAttempt.First)
        val requests = (callers + callers).map { (organisation, caller) -> fixture.waiting(organisation, caller) }
        val before = requests.sumOf { it.attempts }
        fixture.lane.wake(LaneFixture.START)

        it("are tried once for each limit (guards against a wake that tries every waiting request)") {
            requests.sumOf { it.attempts } - before shouldBe 2
        }
    }

    describe("a request that looks repeated too soon while no shortage is known") {
        val fixture = LaneFixture(short = false)
        val request = fixture.waiting(small, CallerAttempt.Premature(100.milliseconds))
        val waitedOnArrival = fixture.lane.waiting
        fixture.occupancy = 1.0
        fixture.lane.wake(LaneFixture.START)

        it("waits (guards against a first attempt rejected because its connection was accepted late)") {
            waitedOnArrival shouldBe 1
        }

        it("is sent when capacity becomes free (guards against a limit that keeps late callers out)") {
            request.sent shouldBe true
        }
    }
})
