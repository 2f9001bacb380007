package boragering.core.timeline

import boragering.core.DaemonId
import boragering.core.catalogue.FakeClock
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class HybridClockTest : DescribeSpec({
    describe("timestamps") {
        it("increase when the wall clock stands still or jumps back") {
            val wall = FakeClock(wall = 1_000_000)
            val clock = HybridClock(DaemonId("a"), wall)
            val first = clock.issue()
            val second = clock.issue()
            wall.wall -= 500_000
            val third = clock.issue()
            second shouldBeGreaterThan first
            third shouldBeGreaterThan second
        }

        it("carry into the next millisecond when the counter is exhausted") {
            val clock = HybridClock(DaemonId("a"), FakeClock(wall = 5))
            repeat(HybridClock.MAXIMUM_COUNTER + 1) { clock.issue() }
            clock.issue() shouldBe HybridTime(6, 0, DaemonId("a"))
        }
    }

    describe("daemons with skewed clocks") {
        it("stamp an effect after its cause") {
            val ahead = HybridClock(DaemonId("z"), FakeClock(wall = 50_000))
            val behind = HybridClock(DaemonId("a"), FakeClock(wall = 0))
            val cause = ahead.issue()
            behind.merge(cause) shouldBe true
            val effect = behind.issue()
            effect shouldBeGreaterThan cause
            ahead.merge(effect)
            ahead.issue() shouldBeGreaterThan effect
        }

        it("do not follow a clock that is more than a minute ahead") {
            val wall = FakeClock(wall = 1_000)
            val clock = HybridClock(DaemonId("a"), wall)
            clock.merge(HybridTime(61_001, 0, DaemonId("wrong"))) shouldBe false
            clock.ignoredCount shouldBe 1
            clock.issue().milliseconds shouldBe 1_000
            repeat(1_000) { clock.merge(HybridTime(clock.issue().milliseconds + 59_000, 0, DaemonId("wrong"))) }
            clock.issue().milliseconds shouldBeLessThanOrEqual 61_001
        }

        it("keep their order when a received timestamp has a counter out of range") {
            val clock = HybridClock(DaemonId("a"), FakeClock(wall = 1_000))
            clock.merge(HybridTime(1_000, Int.MAX_VALUE, DaemonId("b")))
            clock.issue() shouldBe HybridTime(1_001, 0, DaemonId("a"))
            clock.merge(HybridTime(-1, -1, DaemonId("b")))
            clock.issue() shouldBeLessThan HybridTime(1_001, 2, DaemonId("a"))
        }
    }
})
