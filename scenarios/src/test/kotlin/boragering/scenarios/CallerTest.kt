package boragering.scenarios

import boragering.standins.AnswerText
import boragering.standins.EngineFaults
import boragering.standins.EngineMember
import boragering.standins.EngineOrder
import boragering.standins.EnginePhase
import boragering.standins.EngineStatus
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

/** An engine serves the same completions interface as a daemon, so that callers can be tested against it alone. */
class CallerTest : DescribeSpec({
    val chat = ChatCall("kotoba", userMessage("hello"), maxTokens = 4)
    val text = AnswerText.complete(chat.messages, chat.maxTokens)

    describe("a streamed completion") {
        it("is complete with the end marker, and its parts arrive one by one") {
            withEngine { engine, history ->
                val parts = mutableListOf<String>()
                val outcome = caller(engine, history).complete(chat, parts::add)

                outcome.shouldBeInstanceOf<CallOutcome.Complete>().text shouldBe text
                parts.filter { it.isNotEmpty() }.size shouldBe chat.maxTokens
                history.all.map { it.outcome } shouldBe listOf(outcome)
            }
        }

        it("is broken without the end marker, and keeps the text that had arrived") {
            withEngine { engine, history ->
                put(engine, "/control/faults", EngineFaults(breakStreams = 1, breakAfterTokens = 2))
                val outcome = caller(engine, history).complete(chat)

                outcome.shouldBeInstanceOf<CallOutcome.Broken>().text shouldBe AnswerText.complete(chat.messages, 2)
            }
        }
    }

    describe("a completion in one document") {
        it("has the whole text") {
            withEngine { engine, history ->
                val outcome = caller(engine, history).complete(chat.copy(stream = false))

                outcome.shouldBeInstanceOf<CallOutcome.Complete>().text shouldBe text
            }
        }
    }

    describe("a refusal") {
        it("is not taken for an answer") {
            withEngine { engine, history ->
                put(engine, "/control/faults", EngineFaults(refuse = 1))

                caller(engine, history).complete(chat).shouldBeInstanceOf<CallOutcome.Refused>().status shouldBe 503
            }
        }
    }
})

private fun ControlClient.caller(engine: String, history: CallHistory) = Caller(http, engine, "token", history)

/** Runs [test] with the address of an engine that is the only member of its group and ignores fencing. */
private suspend fun withEngine(test: suspend ControlClient.(String, CallHistory) -> Unit) {
    val plan = deployment {
        engines("gpu", "rack-a", count = 1) {
            option("load-time", "10ms")
            option("enforce-fencing", false)
        }
    }
    plan.runPlatform {
        val engine = engines.single().run { EngineMember(id, address) }
        ControlClient().use { client ->
            val order = EngineOrder("load", "g", 1, "kotoba", "1", listOf(engine), engine.instance)
            client.success(client.post(engine.address, "/orders", order))
            awaitTrue("the engine is ready") {
                client.read<EngineStatus>(engine.address, "/status").phase == EnginePhase.READY
            }
            client.test(engine.address, CallHistory())
        }
    }
}
