package boragering.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StoreAvailabilityTest : DescribeSpec({
    fun lostFrom10To(end: Int, availability: StoreAvailability = StoreAvailability()): StoreAvailability =
        availability.apply {
            onAnswered(1.seconds)
            onLost(10.seconds)
            onAnswered(end.seconds)
        }

    describe("what the store held before it was away") {
        it("is known after a return (guards against a planner that waits as after a start)") {
            lostFrom10To(end = 16).answeredBefore shouldBe true
        }

        it("is not known after the first answer (guards against groups judged by half a list)") {
            StoreAvailability().apply { onAnswered(1.seconds) }.answeredBefore shouldBe false
        }
    }

    describe("entries that disappear after the store was away") {
        it("may return when it answered nobody (guards against the loss of all targets)") {
            lostFrom10To(end = 16).entriesMayReturn(17.seconds) shouldBe true
        }

        it("have ended when others had the store meanwhile (guards against requests to an instance that left)") {
            val availability = StoreAvailability()
            availability.onAnswered(1.seconds)
            availability.onLost(10.seconds)
            availability.onReachableElsewhere(10.4.seconds)
            availability.onAnswered(16.seconds)
            availability.entriesMayReturn(17.seconds) shouldBe false
        }

        it("may return when another gateway had it back a moment earlier (guards against a race of the return)") {
            val availability = StoreAvailability()
            availability.onAnswered(1.seconds)
            availability.onLost(10.seconds)
            availability.onReachableElsewhere(15_700.milliseconds)
            availability.onAnswered(16.seconds)
            availability.entriesMayReturn(17.seconds) shouldBe true
        }

        it("have ended when the absence was short (guards against a hold after each lost call)") {
            lostFrom10To(end = 11).entriesMayReturn(12.seconds) shouldBe false
        }

        it("have ended some time after the return (guards against a hold for ever)") {
            lostFrom10To(end = 16).entriesMayReturn(19.seconds) shouldBe false
        }
    }

    describe("a first answer") {
        it("is no return (guards against a hold after each start)") {
            StoreAvailability().apply { onAnswered(1.seconds) }.entriesMayReturn(2.seconds) shouldBe false
        }
    }
})
