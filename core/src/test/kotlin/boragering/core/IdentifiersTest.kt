package boragering.core

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class IdentifiersTest : DescribeSpec({
    describe("an instance id") {
        it("prints as its value") {
            InstanceId("a").toString() shouldBe "a"
        }
    }
})
