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
        var storeIsDown = false
        val lock = PlannerLock(store, DaemonId("d"), clock) { storeIsDown }
    }

    describe("the planner's lock") {
        it("is held until its lease may have expired (guards against a planner that continues without the lock)") {
            Fixture().run {
                lock.acquire() shouldBe true
                store.failing = true
                clock.time += 1.seconds
                lock.renew()
                lock.held shouldBe true
                clock.time += 1_200.milliseconds
                lock.renew()
                lock.held shouldBe false
            }
        }

        it("stays held while the store answers no gateway (guards against groups without a planner in an outage)") {
            Fixture().run {
                lock.acquire()
                store.failing = true
                storeIsDown = true
                clock.time += 20.seconds
                lock.renew()
                lock.held shouldBe true
            }
        }

        it("is given up when the lease has expired (guards against two planners after an outage)") {
            Fixture().run {
                lock.acquire()
                store.leaseExpired = true
                clock.time += 1.seconds
                lock.renew()
                lock.fence shouldBe null
            }
        }

        it("is uncertain after a suspension that stops the monotonic clock (guards against a resumed planner)") {
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
