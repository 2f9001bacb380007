package boragering.gateway

import boragering.core.StoreRevision
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StoreAvailabilityTest : DescribeSpec({
    val before = StoreRevision(100)
    val atReturn = StoreRevision(160)
    val afterReturn = StoreRevision(161)

    /** A call that is refused as soon as it is made at 10 s. */
    val refused = UnansweredCall(10.seconds)

    /** The store answers a start, and for the last time at 10 s. */
    fun answering() = StoreAvailability().apply {
        onAnswered(1.seconds, before)
        onAnswered(10.seconds, before)
    }

    fun lostFrom10To(end: Int): StoreAvailability = answering().apply {
        onLost(10.seconds, refused)
        onAnswered(end.seconds, atReturn)
    }

    describe("the documents from before an outage of the store") {
        it("are known after the outage (guards against a planner that waits as long as after a start)") {
            lostFrom10To(end = 16).answeredBefore shouldBe true
        }

        it("are not known after a start during an outage (guards against a planner that trusts the first list)") {
            val availability = StoreAvailability()
            availability.onLost(1.seconds, UnansweredCall(1.seconds))
            availability.onAnswered(2.seconds, before)
            availability.answeredAtOnce shouldBe false
        }

        it("are not known after the first answer (guards against decisions about groups by a partial list)") {
            answering().answeredBefore shouldBe false
        }
    }

    describe("documents without a lease that disappear") {
        it("may return if the store was restored (guards against requests to a zone that should stay evacuated)") {
            val restored = answering().apply { onRestored(16.seconds, atReturn) }
            restored.documentReturnDeadline(atReturn, 17.seconds) shouldBe 18_300.milliseconds
            restored.documentReturnDeadline(atReturn, 19.seconds) shouldBe null
            restored.documentReturnDeadline(afterReturn, 17.seconds) shouldBe null
        }

        it("were removed if the store was only away (guards against zones that stay evacuated without need)") {
            lostFrom10To(end = 16).documentReturnDeadline(atReturn, 16.seconds) shouldBe null
        }
    }

    describe("entries that disappear in an outage of the store") {
        it("may return for a time after its end (guards against the loss of all targets)") {
            lostFrom10To(end = 16).entryReturnDeadline(atReturn, 16.seconds) shouldBe 18_300.milliseconds
        }

        it("may not return for longer if their removal is learned late (guards against entries held for ever)") {
            lostFrom10To(end = 16).entryReturnDeadline(atReturn, 18.seconds) shouldBe 18_300.milliseconds
            lostFrom10To(end = 16).entryReturnDeadline(atReturn, 19.seconds) shouldBe null
        }

        it("may return if another gateway passes their removal on (guards against the loss of all targets)") {
            val availability = answering()
            availability.onLost(10.seconds, refused)
            availability.onReachableElsewhere(15_700.milliseconds)
            availability.entryReturnDeadline(atReturn, 16.seconds) shouldBe 18.seconds
        }

        it("have ended if it answered other gateways (guards against requests to an instance that has left)") {
            val availability = answering()
            availability.onLost(10.seconds, refused)
            availability.onReachableElsewhere(10.4.seconds)
            availability.entryReturnDeadline(atReturn, 15.seconds) shouldBe null
            availability.onAnswered(16.seconds, atReturn)
            availability.entryReturnDeadline(atReturn, 16.seconds) shouldBe null
        }

        it("may return if another gateway noticed the end just before (guards against a race at the end)") {
            val availability = answering()
            availability.onLost(10.seconds, refused)
            availability.onReachableElsewhere(15_700.milliseconds)
            availability.onAnswered(16.seconds, atReturn)
            availability.entryReturnDeadline(atReturn, 16.seconds) shouldBe 18_300.milliseconds
        }

        it("may return if the first failure came late in it (guards against the loss of all targets)") {
            val availability = answering()
            availability.onLost(12.9.seconds, UnansweredCall(9.9.seconds))
            availability.onAnswered(13.2.seconds, atReturn)
            availability.entryReturnDeadline(atReturn, 13.2.seconds) shouldBe 15.5.seconds
        }

        it("may return if it began between two calls (guards against outages that count from the first failure)") {
            val availability = answering()
            availability.onLost(10.355.seconds, UnansweredCall(10.35.seconds, wait = 2.seconds))
            availability.onAnswered(12.45.seconds, atReturn)
            availability.entryReturnDeadline(atReturn, 12.45.seconds) shouldBe 14.75.seconds
        }

        it("may return if the reader noticed it first (guards against outages that count from the first own call)") {
            val availability = StoreAvailability()
            availability.onAnswered(10.2.seconds, before, answeredAt = 10.seconds)
            availability.onLost(11.3.seconds, UnansweredCall(11.3.seconds, wait = 2.seconds))
            availability.onAnswered(12.45.seconds, atReturn)
            availability.entryReturnDeadline(atReturn, 12.45.seconds) shouldBe 14.75.seconds
        }

        it("have ended if the store kept a call waiting until then (guards against idle calls taken for an outage)") {
            val availability = answering()
            availability.onLost(11.9.seconds, UnansweredCall(10.35.seconds, wait = 2.seconds))
            availability.onAnswered(12.45.seconds, atReturn)
            availability.entryReturnDeadline(atReturn, 12.45.seconds) shouldBe null
        }

        it("have ended if the outage was short (guards against entries held after each failed call)") {
            lostFrom10To(end = 11).entryReturnDeadline(atReturn, 11.seconds) shouldBe null
        }
    }

    describe("entries that disappear after the end of an outage of the store") {
        it("have ended (guards against requests to an instance that leaves shortly after an outage)") {
            lostFrom10To(end = 16).entryReturnDeadline(afterReturn, 16.5.seconds) shouldBe null
        }
    }

    describe("a first answer") {
        it("does not end an outage (guards against entries held after each start)") {
            answering().entryReturnDeadline(before, 1.seconds) shouldBe null
        }
    }
})
