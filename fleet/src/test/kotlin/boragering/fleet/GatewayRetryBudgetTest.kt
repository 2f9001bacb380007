package boragering.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class GatewayRetryBudgetTest : DescribeSpec({
    val limits = RetryLimits(ratio = 0.2, slack = 100.0, window = 10.seconds)

    /** Simulates a deployment in which the fraction [failing] of the requests fails from [failingFrom] on. */
    class Deployment(count: Int, private val failingFrom: Duration, var failing: Double = 1.0) {
        private val random = Random(1)
        private val requests = ArrayList<Duration>()
        private val retries = ArrayList<Duration>()
        val gateways = MutableList(count) { GatewayRetryBudget(limits, startedAt = (-60).seconds) }
        var now = Duration.ZERO

        /** Runs for [time]. Each gateway gets one request every 20 ms; the first gateway gets ten. */
        fun run(time: Duration) {
            val end = now + time
            while (now < end) {
                gateways.forEachIndexed { index, gateway ->
                    repeat(if (index == 0) 10 else 1) { serve(gateway) }
                }
                now += 20.milliseconds
            }
        }

        private fun serve(gateway: GatewayRetryBudget) {
            requests += now
            gateway.recordRequest(now)
            val fails = now >= failingFrom && random.nextDouble() < failing
            if (fails && gateway.tryAcquire(now, gateways.size)) retries += now
        }

        /**
         * Returns the number of retries above the limit in the worst window. The limit is based on the requests of that
         * window, of the window before it or of the window that starts half a window earlier, whichever has the most.
         */
        fun excess(): Double = generateSequence(Duration.ZERO) { it + 50.milliseconds }.takeWhile { it <= now }.maxOf {
            val counted = listOf(it, it - limits.window / 2, it - limits.window).maxOf { from -> requests.within(from) }
            retries.within(it) - limits.ratio * counted - limits.slack
        }

        private fun List<Duration>.within(from: Duration): Int = count { it >= from && it <= from + limits.window }
    }

    describe("the retries of several gateways stay within the limit of the deployment in each window") {
        it("when all requests fail from the start (guards against gateways that each use the full slack)") {
            Deployment(5, failingFrom = Duration.ZERO).apply { run(20.seconds) }.excess() shouldBeLessThanOrEqual 0.0
        }

        it("when all requests fail after a long healthy time (guards against shares based on too long a period)") {
            val failing = 17.seconds + 950.milliseconds
            Deployment(9, failing).apply { run(30.seconds) }.excess() shouldBeLessThanOrEqual 0.0
        }

        it("when gateways end (guards against shares that are used again by the remaining gateways)") {
            val deployment = Deployment(9, failingFrom = 12.seconds).apply { run(16.seconds) }
            repeat(4) {
                deployment.gateways.removeLast()
                deployment.run(1.seconds)
            }
            deployment.run(10.seconds)
            deployment.excess() shouldBeLessThanOrEqual 0.0
        }

        it("when all gateways restart as requests begin to fail (guards against slack renewed by each start)") {
            val deployment = Deployment(9, failingFrom = 15.seconds, failing = 0.1).apply { run(16.seconds) }
            deployment.failing = 1.0
            deployment.gateways.replaceAll { GatewayRetryBudget(limits, startedAt = deployment.now) }
            deployment.run(10.seconds)
            deployment.excess() shouldBeLessThanOrEqual 0.0
        }
    }

    describe("a retry budget after its window has passed") {
        it("allows retries again (guards against a budget that never recovers)") {
            val budget = GatewayRetryBudget(limits.copy(ratio = 0.0, slack = 1.25), startedAt = (-60).seconds)
            budget.tryAcquire(0.seconds, 1) shouldBe true
            budget.tryAcquire(5.seconds, 1) shouldBe false
            budget.tryAcquire(20.seconds, 1) shouldBe true
        }
    }

    describe("a gateway that has just started") {
        it("uses half of its share (guards against failures without any retry and slack renewed by each start)") {
            val budget = GatewayRetryBudget(limits, startedAt = 0.seconds)
            repeat(10) { budget.recordRequest(1.seconds) }
            (1..20).count { budget.tryAcquire(1.seconds, 8) } shouldBe 6
        }
    }
})
