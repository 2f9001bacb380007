package boragering.core

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.test.runTest

class RequestExecutorTest : DescribeSpec({
    describe("a model request") {
        it("gets the target's whole answer, and the target the headers of the group") {
            runTest {
                val world = RequestWorld(this, RequestWorld.model())
                val received = ArrayList<AnswerPart>()
                world.send(world.request(), received = received) shouldBe RequestResult.Complete
                received shouldHaveSize 3
                val headers = world.target.sent.single().headers.associate { it.name to it.value }
                headers["Boragering-Fence"] shouldBe "7"
                headers["Boragering-Priority"] shouldBe "2"
                headers["X-Request-Id"] shouldBe "request-1"
            }
        }
    }

    describe("a non-repeatable request") {
        it("is sent once, and a repetition gets the recorded answer") {
            runTest {
                val world = RequestWorld(this, RequestWorld.service())
                val first = ArrayList<AnswerPart>()
                val second = ArrayList<AnswerPart>()
                world.send(world.request("k"), received = first) shouldBe RequestResult.Complete
                world.send(world.request("k"), received = second) shouldBe RequestResult.Complete
                world.target.runs shouldHaveSize 1
                (second.last() as AnswerPart.Body).bytes.text() shouldBe "{\"booked\":true}"
            }
        }
    }
})
