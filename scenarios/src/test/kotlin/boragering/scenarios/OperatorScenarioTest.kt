package boragering.scenarios

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.io.path.createTempFile
import kotlin.io.path.deleteIfExists
import kotlin.io.path.writeText

/** The path of a request and the operators' view of it, through the entry points of both programs. */
class OperatorScenarioTest : DescribeSpec({
    describe("boragerctl before three daemons") {
        it("shows the system, follows a request and refuses a change that is based on an old revision") {
            scenario {
                GroupView(daemons, DemoPlan.MODEL).awaitWhole(DemoPlan.REPLICAS)
                val chat = ChatCall(DemoPlan.MODEL, userMessage("hello"), maxTokens = 4)
                val answer = caller(daemons[0]).complete(chat).shouldBeInstanceOf<CallOutcome.Complete>()

                val status = operator.ask(listOf("status"))
                status.exitCode shouldBe 0
                daemons.indices.forEach { status.output shouldContain "entry-${it + 1}-" }
                operator.ask(listOf("requests", checkNotNull(answer.request))).output shouldContain "request-ended"
                operator.ask(listOf("timeline", "--limit", "1000")).output shouldContain "group-whole"

                val shown = operator.ask(listOf("catalogue", "show"))
                val file = createTempFile("catalogue", ".json")
                try {
                    file.writeText(shown.output)
                    operator.run(listOf("catalogue", "validate", "$file")).exitCode shouldBe 0
                    file.writeText(shown.output.replaceFirst("\"owner\": \"kitaspike", "\"owner\": \"first"))
                    operator.ask(listOf("catalogue", "apply", "$file")).exitCode shouldBe 0
                    file.writeText(shown.output.replaceFirst("\"owner\": \"kitaspike", "\"owner\": \"second"))
                    val stale = operator.ask(listOf("catalogue", "apply", "$file"))
                    stale.exitCode shouldBe 1
                    stale.output + stale.errors shouldContain DemoPlan.MODEL
                } finally {
                    file.deleteIfExists()
                }
            }
        }
    }
})
