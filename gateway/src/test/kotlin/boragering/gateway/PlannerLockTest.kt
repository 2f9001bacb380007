package boragering.gateway

import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.StoreRevision
import boragering.core.StoredValue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
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
    class Fixture : PlannerLockView {
        val clock = TestClock()
        val store = FakeLockStore()
        override var storeIsDown = false
        override val storeEra get() = store.era
        val lock = PlannerLock(store, DaemonId("d"), clock, this)
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

    describe("the planner's lock of a store that was restored from a backup") {
        it("has ended, though its lease may be in the backup (guards against two planners)") {
            Fixture().run {
                lock.acquire()
                store.restore(backup = 0)
                lock.held shouldBe false
                lock.renew()
                lock.fence shouldBe null
            }
        }

        it("has a higher fencing token than before (guards against orders that instances refuse)") {
            Fixture().run {
                store.revision = 500
                lock.acquire()
                val before = checkNotNull(lock.fence)
                store.restore(backup = 20)
                lock.renew()
                lock.acquire() shouldBe true
                checkNotNull(lock.fence) shouldBeGreaterThan before
            }
        }

        it("is acquired at once if the backup names this gateway (guards against a time without a planner)") {
            Fixture().run {
                lock.acquire()
                store.restore(backup = 7, StoredValue(PlannerLock.KEY, "d", StoreRevision(6, era = 1)))
                lock.renew()
                lock.acquire() shouldBe true
            }
        }

        it("is not acquired if the backup names another gateway (guards against two planners)") {
            Fixture().run {
                store.restore(backup = 7, StoredValue(PlannerLock.KEY, "other", StoreRevision(6, era = 1)))
                lock.acquire() shouldBe false
            }
        }
    }
})
