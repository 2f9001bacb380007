package boragering.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LoadRateLimiterTest : DescribeSpec({
    val engine = TestModels.engine

    describe("loads that wait to begin") {
        it("begin at the store's rate in each window (guards against a burst over the ceiling)") {
            val rateLimiter = LoadRateLimiter()
            val starts = ArrayList<Duration>()
            repeat(200) { step ->
                val now = 100.milliseconds * step
                while (rateLimiter.tryAcquire(now, running = 0, engine)) starts += now
            }
            starts.forEach { from ->
                val begun = starts.count { it >= from && it < from + 5.seconds }
                begun shouldBeLessThanOrEqual (engine.loadsPerSecond * 5).toInt()
            }
        }

        it("wait while as many run as the store serves at once (guards against loads that slow each other)") {
            LoadRateLimiter().tryAcquire(Duration.ZERO, running = engine.loadsAtOnce, engine) shouldBe false
        }

        it("count those that another planner began (guards against two planners' bursts)") {
            val rateLimiter = LoadRateLimiter()
            rateLimiter.recordExternalLoads(Duration.ZERO, loads = 20)
            rateLimiter.tryAcquire(1.seconds, running = 0, engine) shouldBe false
        }
    }

    describe("a load that completes a group") {
        it("begins beside as many as the store serves at full speed (guards against groups that wait for spares)") {
            val rateLimiter = LoadRateLimiter()
            rateLimiter.tryAcquire(10.seconds, running = engine.loadsAtOnce, engine) shouldBe false
            rateLimiter.tryAcquire(10.seconds, running = engine.loadsAtOnce, engine, urgent = true) shouldBe true
        }
    }
})
