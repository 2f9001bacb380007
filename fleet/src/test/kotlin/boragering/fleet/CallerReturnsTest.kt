package boragering.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainOnly
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CallerReturnsTest : DescribeSpec({
    val route = Route(
        name = "r",
        host = "x.example",
        prefix = "/",
        repeatability = Repeatability.SINGLE_STREAM,
        split = persistentListOf(WeightedService(TestModels.service, 1.0)),
        attempts = 1,
        timeout = 8.seconds,
        targetLatency = 500.milliseconds,
    )

    /** Classifies requests, one every 100 ms, whose callers have [timesLeft]. */
    fun CallerReturns.classify(timesLeft: List<Duration>): List<CallerAttempt> =
        timesLeft.mapIndexed { index, left -> classify(route, left, 1.seconds + 100.milliseconds * index) }

    describe("callers that start with the same time left") {
        val starts = List(10) { 8.seconds }

        it("are recognised when they return (guards against callers that come back as told and have no advantage)") {
            CallerReturns().classify(starts + 7.2.seconds).last() shouldBe CallerAttempt.Returned(800.milliseconds)
        }

        it("are recognised when they repeat at once (guards against a reward for repeating)") {
            CallerReturns().classify(starts + 7.9.seconds).last() shouldBe CallerAttempt.Premature(100.milliseconds)
        }
    }

    it("does not judge callers by one that waits for longer (guards against a caller that disturbs a whole route)") {
        val starts = List(10) { 6.seconds }
        CallerReturns().classify(starts + 8.seconds + starts).shouldContainOnly(CallerAttempt.First)
    }

    describe("callers that start with different times left") {
        val random = Random(1)
        val starts = List(100) { 8.seconds - 1.2.seconds * random.nextDouble() }

        it("count as new ones (guards against first attempts rejected as repeated too soon)") {
            CallerReturns().classify(starts).shouldContainOnly(CallerAttempt.First)
        }
    }

    it("counts unlike callers of a busy route as new ones (guards against close deadlines taken for one caller's)") {
        val random = Random(1)
        val returns = CallerReturns()
        val attempts = (0 until 5_000).map {
            val timeLeft = 8.seconds - 300.milliseconds * random.nextDouble()
            returns.classify(route, timeLeft, 1.seconds + 1.milliseconds * it)
        }
        attempts.drop(1_000).shouldContainOnly(CallerAttempt.First)
    }

    it("does not tell attempts apart by few requests (guards against a single caller that decides)") {
        CallerReturns().classify(listOf(8.seconds, 7.2.seconds)).last() shouldBe CallerAttempt.First
    }

    describe("a caller that repeats 50 times beside callers that start with the same time left") {
        val returns = CallerReturns()
        val deadline = 9.seconds
        returns.classify(List(8) { 8.seconds })
        val repetitions = (0 until 50).map { 1_080.milliseconds + 60.milliseconds * it }
        repetitions.forEach { returns.classify(route, deadline - it, it) }

        it("does not hide returns of others (guards against one caller that decides for a whole route)") {
            returns.classify(route, 7.2.seconds, 5.seconds) shouldBe CallerAttempt.Returned(800.milliseconds)
        }

        it("does not hide that others repeat at once (guards against a reward for repeating)") {
            returns.classify(route, 7.9.seconds, 5.1.seconds) shouldBe CallerAttempt.Premature(100.milliseconds)
        }
    }
})
