package boragering.standins

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.HttpStatement
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readLine
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.buildJsonArray
import java.io.IOException

class EngineStandInTest : DescribeSpec({
    describe("fencing that is enforced") {
        it("refuses an older order and a request with another fencing number, both before running") {
            withGroup {
                load(fence = 5)
                order(0, EngineOrder("load", "stale", fence = 4)).status.value shouldBe 409
                val response = complete("r1", fence = 4)

                response.status.value shouldBe 409
                response.headers["Boragering-Not-Run"] shouldBe "true"
                record(0).requests.size shouldBe 0
                status(0).fence shouldBe 5
            }
        }
    }

    describe("fencing that is ignored") {
        it("obeys an older order and runs a request with another fencing number") {
            withGroup({ enforceFencing = false }) {
                load(fence = 5)
                load(fence = 4)

                complete("r1", fence = 5).status.value shouldBe 200
                record(0).requests.single().run { fence to servedFence } shouldBe (5L to 4L)
            }
        }
    }

    describe("an answer") {
        it("has the text that checkers predict and the request's identity") {
            withGroup {
                load(fence = 1)
                val body = complete("r1", fence = 1).bodyAsText()

                val answer = standInJson.decodeFromString<ChatCompletion>(body)
                answer.id shouldBe "r1"
                answer.choices.single().message?.content shouldBe AnswerText.complete(buildJsonArray { }, SHORT)
            }
        }
    }

    describe("a lost member") {
        it("breaks the leader's stream without an end marker and keeps the leader from running more") {
            withGroup {
                load(fence = 1)
                stream("r1").execute { response ->
                    val lines = response.bodyAsChannel()
                    lines.readLine().orEmpty() shouldContain "r1"
                    harness.put(addresses[1], "/control/faults", EngineFaults(unreachable = true))

                    lines.rest() shouldNotContain "[DONE]"
                }
                record(0).requests.single().end shouldBe RunEnd.MEMBER_LOST
                complete("r2", fence = 1).status.value shouldBe 500
                record(0).requests.size shouldBe 1
            }
        }
    }

    describe("a release") {
        it("refuses new requests as not run, finishes the running one, and makes the engine idle") {
            withGroup {
                load(fence = 1)
                stream("r1", tokens = RUNNING).execute { response ->
                    val lines = response.bodyAsChannel()
                    lines.readLine().orEmpty() shouldContain "r1"
                    order(0, EngineOrder("release", "g", fence = 1))
                    status(0).phase shouldBe EnginePhase.DRAINING
                    complete("r2", fence = 1).headers["Boragering-Not-Run"] shouldBe "true"

                    lines.rest() shouldContain "[DONE]"
                }
                eventually(waitLimit) { status(0).phase shouldBe EnginePhase.IDLE }
                record(0).requests.single().end shouldBe RunEnd.COMPLETE
            }
        }
    }
})

private const val SHORT = 3

/** Tokens of an answer that lasts 4 s, longer than the calls that are made meanwhile. */
private const val RUNNING = 200

/** A group of two engines that tests order and call. */
private class EngineGroupFixture(val harness: StandInHarness, val addresses: List<String>) {
    suspend fun order(index: Int, order: EngineOrder) = harness.post(addresses[index], "/orders", order)

    /** Loads the group on both engines and waits until its leader is ready. */
    suspend fun load(fence: Long) {
        val members = addresses.mapIndexed { index, address -> EngineMember("e-$index", address) }
        val order = EngineOrder("load", "g", fence, "m", "1", members, leader = "e-0")
        addresses.indices.forEach { order(it, order).status.value shouldBe 202 }
        eventually(waitLimit) { status(0).run { phase to this.fence } shouldBe (EnginePhase.READY to fence) }
    }

    suspend fun status(index: Int): EngineStatus = harness.read(addresses[index], "/status")

    suspend fun record(index: Int): EngineRecord = harness.read(addresses[index], "/control/record")

    suspend fun complete(request: String, fence: Long): HttpResponse =
        prepare(request, fence, ChatRequest(maxTokens = SHORT)).execute()

    suspend fun stream(request: String, tokens: Int = 10_000) =
        prepare(request, fence = 1, ChatRequest(maxTokens = tokens, stream = true))

    private suspend fun prepare(request: String, fence: Long, chat: ChatRequest): HttpStatement =
        harness.client.preparePost("http://${addresses[0]}/v1/chat/completions") {
            header("X-Request-Id", request)
            header("Boragering-Group", "g")
            header("Boragering-Fence", fence)
            setBody(standInJson.encodeToString(chat))
        }
}

private suspend fun withGroup(set: EngineOptions.() -> Unit = {}, test: suspend EngineGroupFixture.() -> Unit) =
    withStandIns {
        val options = EngineOptions().apply {
            loadTime = "10ms"
            joinTime = "10ms"
            pingInterval = "20ms"
            set()
        }
        val process = EngineProcess(options, scope, client)
        val addresses = List(2) { start(EngineStandIn("e-$it", "incarnation-$it", process)::serve) }
        EngineGroupFixture(this, addresses).test()
    }

/** Everything up to the end of the stream or the break of its connection. */
private suspend fun ByteReadChannel.rest(): String = withTimeout(waitLimit) {
    val text = StringBuilder()
    try {
        var line = readLine()
        while (line != null) {
            text.appendLine(line)
            line = readLine()
        }
    } catch (broken: IOException) {
        text.appendLine(broken.message)
    }
    "$text"
}
