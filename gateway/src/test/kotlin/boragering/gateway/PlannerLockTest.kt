package boragering.gateway

import boragering.core.Clock
import boragering.core.DaemonId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private class TestClock : Clock {
    var time = 100.seconds
    var wallShift = 0L

    override fun wallMilliseconds(): Long = time.inWholeMilliseconds + wallShift

    override fun monotonic(): Duration = time
}

class PlannerLockTest : DescribeSpec({
    class Fixture {
        val clock = TestClock()
        val store = FakeLockStore()
        var downForAll = false
        val lock = PlannerLock(store, DaemonId("d"), clock) { downForAll }
    }

    describe("the planner's lock") {
        it("is held until its lease may have ended (guards against a planner that does not know it is one no more)") {
            Fixture().run {
                lock.acquire() shouldBe true
                store.down = true
                clock.time += 1.seconds
                lock.renew()
                lock.held shouldBe true
                clock.time += 1_200.milliseconds
                lock.renew()
                lock.held shouldBe false
            }
        }

        it("is held on while the store answers nobody (guards against groups that nobody mends during an outage)") {
            Fixture().run {
                lock.acquire()
                store.down = true
                downForAll = true
                clock.time += 20.seconds
                lock.renew()
                lock.held shouldBe true
            }
        }

        it("is given up when the lease has ended (guards against two planners after an outage)") {
            Fixture().run {
                lock.acquire()
                store.ended = true
                clock.time += 1.seconds
                lock.renew()
                lock.fence shouldBe null
            }
        }

        it("is uncertain after a pause that the steady clock does not count (guards against a woken planner)") {
            Fixture().run {
                lock.acquire()
                clock.wallShift = 4_000
                lock.held shouldBe false
                lock.renew()
                lock.held shouldBe true
            }
        }
    }
})
