package boragering.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

class ModelTrafficTest : DescribeSpec({
    val now = 100.seconds

    it("tells which part of the requests was rejected") {
        val traffic = ModelTraffic()
        repeat(6) { traffic.recordSent(now) }
        repeat(2) { traffic.recordUnserved(now) }
        traffic.unservedShare(now) shouldBe (0.25 plusOrMinus 0.001)
    }

    it("does not tell it from few requests (guards against regroupings for one caller)") {
        val traffic = ModelTraffic()
        repeat(5) { traffic.recordSent(now) }
        traffic.recordUnserved(now)
        traffic.unservedShare(now) shouldBe 0.0
    }

    it("tells the load of a model that has no groups (guards against a demand that vanishes with the last group)") {
        val traffic = ModelTraffic()
        traffic.recordAnswered(2.seconds)
        repeat(60) { traffic.recordUnserved(now) }
        // Ten attempts per second of five callers, each of which comes back once.
        traffic.offered(now).shouldNotBeNull() shouldBe (10.0 plusOrMinus 0.1)
    }

    it("knows no load before the first answer") {
        ModelTraffic().apply { recordUnserved(now) }.offered(now) shouldBe null
    }
})
