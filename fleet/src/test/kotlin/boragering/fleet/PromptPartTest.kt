package boragering.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly

class PromptPartTest : DescribeSpec({
    describe("the shared parts of a prompt") {
        it("are all but the last one, in order (guards against blame on a request's own part)") {
            PromptPart.shared(listOf("a1:800, B2:410", "c3:5")).map { it.id } shouldContainExactly listOf("a1", "b2")
        }

        it("have one id for each number (guards against one part under two names)") {
            PromptPart.shared(listOf("00Ab:1,ab:2,c:3")).map { it.id } shouldContainExactly listOf("ab")
        }

        it("have short ids (guards against keys and messages that callers can fill)") {
            PromptPart.shared(listOf("${"a".repeat(65)}:1,b:2,c:3")).map { it.id } shouldContainExactly listOf("b")
        }

        it("of a prompt without a list, or with only its own part, are none (guards against empty ids)") {
            PromptPart.shared(emptyList()).shouldBeEmpty()
            PromptPart.shared(listOf("a1:3", " , ")).shouldBeEmpty()
        }
    }
})
