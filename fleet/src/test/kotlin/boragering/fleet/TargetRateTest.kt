package boragering.fleet

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Gateways before one target that states [limit]; they want to send [wantedPerSecond] requests to it in all. */
private data class LimitedLoad(val gateways: Int, val limit: Double, val wantedPerSecond: Double)

private val WINDOW = 4.seconds

/** Times at which requests reach the target. A gateway that starts anew is told again by its next answer. */
private fun play(load: LimitedLoad, seed: Int, restarts: Boolean): List<Duration> {
    val random = Random(seed)
    fun rate(number: Int) = TargetRate(
        { maxHolders ->
            val holders = minOf(maxHolders, load.gateways)
            RateShare(holders, load.gateways, holding = number < holders)
        },
        Random(seed * load.gateways + number),
    ).also { it.record(RateStatement.Limited(load.limit), Duration.ZERO, Duration.ZERO) }

    val rates = MutableList(load.gateways, ::rate)
    val sent = ArrayList<Duration>()
    var now = Duration.ZERO
    while (now < 60.seconds) {
        now += 1.seconds / load.wantedPerSecond * 2 * random.nextDouble()
        if (restarts && random.nextDouble() < 0.001) rates[random.nextInt(load.gateways)].end(now)
        val rate = rates[random.nextInt(load.gateways)]
        if (!rate.mayTake(now)) continue
        rate.onSend(now)
        sent += now
        rate.record(RateStatement.Limited(load.limit), now, now)
    }
    return sent
}

class TargetRateTest : DescribeSpec({
    describe("gateways before a target that states a rate") {
        listOf(
            LimitedLoad(gateways = 6, limit = 3.3, wantedPerSecond = 30.0),
            LimitedLoad(gateways = 9, limit = 0.4, wantedPerSecond = 30.0),
            LimitedLoad(gateways = 20, limit = 12.0, wantedPerSecond = 90.0),
            LimitedLoad(gateways = 76, limit = 3.5, wantedPerSecond = 200.0),
            LimitedLoad(gateways = 430, limit = 5.0, wantedPerSecond = 800.0),
        ).forEach { load ->
            it("keep to it together and use most of it with $load (guards against a rate for each gateway)") {
                repeat(20) { seed ->
                    withClue("seed $seed") {
                        val sent = play(load, seed, restarts = seed % 2 == 1)
                        val most = sent.maxOf { start -> sent.count { it >= start && it < start + WINDOW } }
                        most.toDouble() shouldBeLessThanOrEqual 1.5 * load.limit * WINDOW.inWholeSeconds + 5
                        sent.size / 60.0 shouldBeGreaterThan load.limit * 0.6
                    }
                }
            }
        }
    }

    describe("a statement") {
        fun limited() = TargetRate({ RateShare(1, 1, holding = true) }, Random(1))
            .also { it.record(RateStatement.Limited(1.0), 1.seconds, 2.seconds) }

        it("is not ended by an answer to an earlier request (guards against answers that overtake each other)") {
            val rate = limited()
            rate.record(RateStatement.Unlimited, sentAt = 1_900.milliseconds, now = 2_100.milliseconds)
            rate.mayTake(2_100.milliseconds) shouldBe false
        }

        it("is ended by an answer without one to a later request (guards against limits that outlive the need)") {
            val rate = limited()
            rate.record(RateStatement.Unlimited, sentAt = 2_100.milliseconds, now = 2_200.milliseconds) shouldBe true
            rate.mayTake(2_200.milliseconds) shouldBe true
        }

        it("leaves no permits for a target that becomes cold (guards against a burst of all that share the rate)") {
            val rate = TargetRate({ RateShare(1, 1, holding = true) }, Random(1))
            rate.record(RateStatement.Limited(50.0), 1.seconds, 1.seconds)
            rate.mayTake(2.seconds) shouldBe true
            rate.mayTake(2.seconds, RateLimit(17.0, maxHolders = 8)) shouldBe false
        }

        it("that cannot be read changes nothing (guards against targets that are flooded after a typing error)") {
            val rate = limited()
            rate.record(RateStatement.of("many"), sentAt = 2_100.milliseconds, now = 2_200.milliseconds)
            rate.mayTake(2_200.milliseconds) shouldBe false
        }

        it("is read as a decimal number of requests per second (guards against limits that are overlooked)") {
            RateStatement.of(" 3.5 ") shouldBe RateStatement.Limited(3.5)
            RateStatement.of(null) shouldBe RateStatement.Unlimited
            RateStatement.of("-1") shouldBe RateStatement.Unreadable("-1")
            RateStatement.of("NaN") shouldBe RateStatement.Unreadable("NaN")
        }
    }
})
