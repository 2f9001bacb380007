package boragering.core.requests

import boragering.core.AnswerPart
import boragering.core.RequestResult
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.milliseconds

class LongAnswerTest : DescribeSpec({
    it("of a service arrives whole (guards against parts that are dropped while the answer looks complete)") {
        runTest {
            val harness = RequestTestHarness(this, RequestTestHarness.service())
            harness.target.bodies = List(10) { "b".repeat(1 shl 20) }
            val received = ArrayList<AnswerPart>()
            harness.send(harness.request("k"), received = received) shouldBe RequestResult.Complete
            received.filterIsInstance<AnswerPart.Body>().sumOf { it.bytes.size } shouldBe (10 shl 20)
        }
    }

    it("that is a stream with a server error is not held whole (guards against events that exhaust the heap)") {
        runTest {
            val harness = RequestTestHarness(this, RequestTestHarness.model())
            harness.target.status = 503
            harness.target.work = { 10.milliseconds to 5_000 }
            val received = ArrayList<AnswerPart>()
            harness.send(harness.request(), received = received) shouldBe RequestResult.Complete
            harness.target.sent shouldHaveSize 1
            received.filterIsInstance<AnswerPart.Event>() shouldHaveSize 5_000
        }
    }
})
