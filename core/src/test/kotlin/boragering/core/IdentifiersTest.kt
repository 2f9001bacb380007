package boragering.core

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class IdentifiersTest : DescribeSpec({
    describe("an instance id") {
        it("has its value as its string form") {
            InstanceId("a").toString() shouldBe "a"
        }
    }
})
