package boragering.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds

private const val DEADLY_PART = "bad0"
private const val MAX_CRASHES = 5

class CrashingPromptTest : DescribeSpec({
    describe("a prompt part that crashes each target that processes it") {
        it("ends only a few targets, and sound prompts are served (guards against a pool that dies)") {
            val targets = List(12) {
                ScriptedTarget {
                    val deadly = DEADLY_PART in request.header("prompt-parts").orEmpty()
                    if (deadly) crash() else answer(200, "done")
                }
            }
            GatewayFixture(*targets.toTypedArray()).use { gateway ->
                val statuses = (1..20).map { number ->
                    gateway.caller().call("/idempotent/a", "Prompt-Parts: a1:40,$DEADLY_PART:9,d$number:5")
                    // Engines need longer than this to read a prompt.
                    gateway.clock.advance(60.milliseconds)
                    gateway.caller().call("/idempotent/a", "Prompt-Parts: a1:40,c$number:5").status
                }
                statuses.distinct() shouldBe listOf(200)
            }
            targets.count { it.crashed } shouldBeLessThanOrEqual MAX_CRASHES
        }
    }
})
