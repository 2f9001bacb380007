package boragering.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RetryAllowanceTest : DescribeSpec({
    val limits = RetryLimits(ratio = 0.2, slack = 100.0, window = 10.seconds)

    describe("the retries of several gateways") {
        it("stay within the deployment's limit in each window (guards against slack that each gateway takes in full)") {
            val gateways = List(5) { RetryAllowance(limits) }
            val taken = ArrayList<Duration>()
            repeat(400) { step ->
                val now = 50.milliseconds * step
                gateways.forEach { gateway ->
                    gateway.request(now)
                    if (gateway.take(now, gateways.size)) taken += now
                }
            }
            (0..100).forEach { step ->
                val from = 100.milliseconds * step
                val requests = 5 * (10.seconds / 50.milliseconds)
                val retries = taken.count { it >= from && it < from + 10.seconds }
                retries shouldBeLessThanOrEqual (0.2 * requests + 100).toInt()
            }
        }
    }

    describe("a window that has passed") {
        it("frees its retries (guards against a budget that is used up once for all)") {
            val allowance = RetryAllowance(limits.copy(ratio = 0.0, slack = 1.25))
            allowance.take(0.seconds, gateways = 1) shouldBe true
            allowance.take(5.seconds, gateways = 1) shouldBe false
            allowance.take(20.seconds, gateways = 1) shouldBe true
        }
    }
})
