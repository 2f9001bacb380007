package boragering.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Groups that become 4 to 12 times slower for some seconds, as instances of two deployments do. */
class TargetPaceTest : DescribeSpec({
    fun slowness(index: Int, at: Duration): Double = when {
        index == 2 && at > 6.seconds && at < 14.seconds -> 4.0
        index == 5 && at > 10.seconds && at < 18.seconds -> 8.0
        index == 7 && at > 20.seconds && at < 26.seconds -> 12.0
        else -> 1.0
    }

    fun play(measured: Boolean): List<CallerTally> {
        val load = PeakLoad(
            listOf(EmulatedRoute("draft", 54.0, 714, 172, 300.milliseconds, 300.milliseconds, 8.seconds)),
            EngineTiming(),
            groupsAt = { 9 },
            length = 34.seconds,
            groupStates = PeakGroups(slowness = ::slowness, measured = measured),
        )
        return PeakDay.play(load, gateways = 4, seeds = 1..6)
    }

    describe("groups that are slow for some seconds") {
        val usual = play(measured = false)
        val measured = play(measured = true)

        it("get fewer requests, so that more answers are on time (guards against slow groups in full use)") {
            measured.sumOf { it.onTime } - usual.sumOf { it.onTime } shouldBeGreaterThan 0
            measured.sumOf { it.toSlow } * 2 shouldBeLessThan usual.sumOf { it.toSlow }
        }
    }

    describe("the pace of a target") {
        val pace = TargetPace()
        repeat(50) { pace.onGap(40.milliseconds, 40.milliseconds * it) }
        repeat(12) { pace.onGap(300.milliseconds, 2.seconds + 80.milliseconds * it) }

        it("is learned within a second of slow events (guards against means that remember too long)") {
            val gap = pace.estimate(3.seconds, gateways = 1).shouldNotBeNull().gap
            gap / 40.milliseconds shouldBeGreaterThan 3.0
        }

        it("leads to a probe, and one only, when nothing was sent for a while (guards against floods of probes)") {
            pace.onSend(3.seconds)
            pace.estimate(3.5.seconds, gateways = 1)?.probeDue shouldBe false
            pace.estimate(4.5.seconds, gateways = 1)?.probeDue shouldBe true
            pace.onSend(4.5.seconds)
            pace.estimate(4.6.seconds, gateways = 1)?.probeDue shouldBe false
        }

        it("is unknown after some seconds without events (guards against targets that are never used again)") {
            pace.estimate(9.seconds, gateways = 1).shouldBeNull()
        }
    }
})
