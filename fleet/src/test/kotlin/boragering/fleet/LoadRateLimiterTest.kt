package boragering.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LoadRateLimiterTest : DescribeSpec({
    val engine = TestModels.engine

    describe("loads that wait to start") {
        it("start at the weight store's rate in each window (guards against bursts above the limit)") {
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

        it("wait while the weight store is at its concurrency limit (guards against loads that slow each other)") {
            LoadRateLimiter().tryAcquire(Duration.ZERO, running = engine.loadsAtOnce, engine) shouldBe false
        }

        it("wait for loads that another planner started (guards against the combined burst of two planners)") {
            val rateLimiter = LoadRateLimiter()
            rateLimiter.recordExternalLoads(Duration.ZERO, loads = 20)
            rateLimiter.tryAcquire(1.seconds, running = 0, engine) shouldBe false
        }
    }

    describe("a load that completes a group") {
        it("starts above the concurrency limit (guards against groups that wait for the loads of spares)") {
            val rateLimiter = LoadRateLimiter()
            rateLimiter.tryAcquire(10.seconds, running = engine.loadsAtOnce, engine) shouldBe false
            rateLimiter.tryAcquire(10.seconds, running = engine.loadsAtOnce, engine, urgent = true) shouldBe true
        }
    }
})
