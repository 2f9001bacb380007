package boragering.fleet

import boragering.core.InstanceId
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveAtMostSize
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val POOL = ServiceName("pool")

private fun parts(vararg ids: String) = SharedPart.of(POOL, ids.map(::PromptPart))

private fun crash(target: Int, at: Duration, vararg prompts: List<String>) = TargetCrash(
    target = InstanceStart(InstanceId("t$target"), 1),
    service = POOL,
    at = at,
    lost = prompts.map { ids -> LostRequest(ids.map(::PromptPart).toPersistentList(), at - 100.milliseconds) }
        .toPersistentList(),
)

private fun PromptQuarantine.record(crash: TargetCrash) = recordCrash(annotate(crash))

private fun PromptQuarantine.waits(now: Duration, vararg ids: String, trial: Boolean = false) =
    waitTime(parts(*ids), now) { trial }

class PromptQuarantineTest : DescribeSpec({
    describe("a part that is lost in one crash after the other") {
        it("is quarantined at the third, without its companions (guards against a pool that dies)") {
            val quarantine = PromptQuarantine()
            quarantine.recordAnswer(parts("caller"), 1.seconds)
            (1..3).flatMap { quarantine.record(crash(it, it.seconds + 1.seconds, listOf("caller", "bad"))) }
                .shouldContainExactly(parts("bad"))
            quarantine.waits(5.seconds, "caller", "bad").shouldNotBeNull()
            quarantine.waits(5.seconds, "caller", "good").shouldBeNull()
        }

        it("is told from an earlier part that was never answered either (guards against a refused caller)") {
            val quarantine = PromptQuarantine()
            (1..3).flatMap { quarantine.record(crash(it, it.seconds, listOf("caller", "bad"))) }
                .shouldContainExactly(parts("bad"))
            quarantine.waits(5.seconds, "caller").shouldBeNull()
        }

        it("is not repeated from the second on (guards against retries that end further targets)") {
            val quarantine = PromptQuarantine()
            quarantine.mayFollowLoss(parts("bad"), 1.seconds) shouldBe true
            quarantine.record(crash(1, 1.seconds, listOf("bad")))
            quarantine.mayFollowLoss(parts("bad"), 2.seconds) shouldBe false
        }

        it("is found although requests with it were answered before (guards against parts that turn deadly)") {
            val quarantine = PromptQuarantine()
            quarantine.recordAnswer(parts("bad"), 1.seconds)
            (1..6).flatMap { quarantine.record(crash(it, it.seconds + 1.seconds, listOf("bad", "fresh$it"))) }
                .shouldContainExactly(parts("bad"))
        }
    }

    describe("a sound part") {
        it("is not blamed when many targets end at once (guards against refusals after the loss of a rack)") {
            val quarantine = PromptQuarantine()
            (1..8).flatMap { quarantine.record(crash(it, 1.seconds + it.milliseconds, listOf("caller", "session"))) }
                .shouldBeEmpty()
        }

        it("is cleared by an answer after each crash (guards against suspicions that add up)") {
            val quarantine = PromptQuarantine()
            (1..9).flatMap { number ->
                quarantine.record(crash(number, number.seconds, listOf("session")))
                    .also { quarantine.recordAnswer(parts("session"), number.seconds + 200.milliseconds) }
            }.shouldBeEmpty()
        }

        it("is released by an answer and not taken over from others (guards against false reports)") {
            val quarantine = PromptQuarantine()
            quarantine.adopt(parts("session").single(), 1.seconds, now = 5.seconds) shouldBe true
            quarantine.recordAnswer(parts("session"), 6.seconds) shouldContainExactly parts("session")
            quarantine.adopt(parts("session").single(), 2.seconds, now = 7.seconds) shouldBe false
            quarantine.waits(7.seconds, "session").shouldBeNull()
        }
    }

    describe("a quarantine") {
        it("lets one request at a time through for a trial after a while (guards against parts refused for ever)") {
            val quarantine = PromptQuarantine()
            quarantine.adopt(parts("bad").single(), Duration.ZERO, now = Duration.ZERO)
            quarantine.waits(30.seconds, "bad", trial = true).shouldNotBeNull()
            quarantine.waits(61.seconds, "bad", trial = false).shouldNotBeNull()
            quarantine.waits(61.seconds, "bad", trial = true).shouldBeNull()
            quarantine.waits(62.seconds, "bad", trial = true).shouldNotBeNull()
        }

        it("ends some time after the last crash (guards against state that never expires)") {
            val quarantine = PromptQuarantine()
            quarantine.adopt(parts("bad").single(), Duration.ZERO, now = Duration.ZERO)
            quarantine.quarantined(11.minutes).shouldBeEmpty()
        }

        it("holds a bounded number of parts (guards against memory that callers can fill)") {
            val quarantine = PromptQuarantine()
            repeat(2_000) { quarantine.adopt(parts("bad$it").single(), Duration.ZERO, now = 1.seconds) }
            quarantine.quarantined(2.seconds) shouldHaveAtMostSize 256
        }
    }

    describe("gateways that share what they see") {
        listOf(
            DeadlyLoad(gateways = 6, targets = 12, deadlyPerSecond = 0.9),
            DeadlyLoad(gateways = 9, targets = 12, deadlyPerSecond = 3.0, restartEvery = 2.seconds),
            DeadlyLoad(gateways = 76, targets = 40, deadlyPerSecond = 2.0, soundPerSecond = 300.0),
            DeadlyLoad(gateways = 430, targets = 120, deadlyPerSecond = 2.0, restartEvery = 1.seconds),
        ).forEach { load ->
            it("stop a deadly part soon and go on serving with $load (guards against targets that end one by one)") {
                repeat(SEEDS) { seed ->
                    val day = DeadlyDay(load, seed).apply { play(40.seconds) }
                    withClue("seed $seed, ${day.crashes.size} crashes") {
                        val fifth = day.crashes.getOrNull(4) ?: day.crashes.last()
                        day.deadlyArrivals.count { it > fifth + 3.seconds } shouldBeLessThanOrEqual 3
                        val seconds = (fifth + 6.seconds).inWholeSeconds..38L
                        val asked = seconds.sumOf { day.soundAsked[it] ?: 0 }
                        seconds.sumOf { day.soundServed[it] ?: 0 }.toDouble() / asked shouldBeGreaterThan 0.9
                    }
                }
            }
        }
    }
}) {
    private companion object {
        const val SEEDS = 15
    }
}
