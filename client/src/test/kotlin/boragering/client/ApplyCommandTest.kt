package boragering.client

import boragering.core.catalogue.ApplyAnswer
import boragering.core.catalogue.ApplyRequest
import boragering.core.catalogue.ApplyResult
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempfile
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.serialization.json.Json
import java.util.concurrent.atomic.AtomicInteger

class ApplyCommandTest : DescribeSpec({
    val document = """{"revision": 7, "organisations": [], "entries": []}"""
    val file = tempfile("catalogue", ".json").apply { writeText(document) }

    fun reply(answer: ApplyAnswer, status: Int = 200) =
        Reply(Json.encodeToString(ApplyAnswer.serializer(), answer), status)

    fun request(received: Received) = Json.decodeFromString(ApplyRequest.serializer(), received.body)

    fun apply(vararg daemons: FakeDaemon, options: List<String> = emptyList()): Run {
        val addresses = daemons.flatMap { listOf("--daemon", it.address) }
        return boragerctl(*(listOf("catalogue", "apply", file.path) + addresses + options).toTypedArray())
    }

    val accepted = ApplyAnswer(ApplyResult.ACCEPTED, 8, listOf("entries/a"))

    describe("apply") {
        it("sends the document with its revision and a token, and reports the new revision") {
            FakeDaemon { reply(accepted) }.use { daemon ->
                val run = apply(daemon, options = listOf("--author", "ann"))
                run.exitCode shouldBe ExitCode.SUCCESS
                run.out shouldContain "accepted as revision 8"
                val sent = request(daemon.received.single())
                sent.copy(token = "") shouldBe ApplyRequest("", "ann", 7, document)
            }
        }

        it("sends the same token again after a lost answer and reports the outcome that the token has") {
            val conflict = ApplyAnswer(ApplyResult.CONFLICT, 8)
            mapOf(accepted to ExitCode.SUCCESS, conflict to ExitCode.REFUSED).forEach { (answer, exitCode) ->
                val calls = AtomicInteger()
                FakeDaemon { if (calls.getAndIncrement() == 0) Reply(null) else reply(answer) }.use { daemon ->
                    apply(daemon, options = listOf("--timeout", "1s")).exitCode shouldBe exitCode
                    daemon.received.size shouldBeGreaterThan 1
                    daemon.received.map { request(it).token }.distinct() shouldHaveSize 1
                }
            }
        }

        it("reports an unknown outcome with the token that tells it later") {
            FakeDaemon { reply(ApplyAnswer(ApplyResult.UNKNOWN, detail = "store"), 503) }.use { daemon ->
                val run = apply(daemon, options = listOf("--token", "t-1"))
                run.exitCode shouldBe ExitCode.UNKNOWN
                run.out shouldContain "--token t-1"
            }
        }

        it("does not take a conflict for a refusal when the history no longer tells about the lost call") {
            val calls = AtomicInteger()
            val conflict = ApplyAnswer(ApplyResult.CONFLICT, 7 + 201)
            FakeDaemon { if (calls.getAndIncrement() == 0) Reply(null) else reply(conflict, 409) }.use { daemon ->
                apply(daemon, options = listOf("--timeout", "1s")).exitCode shouldBe ExitCode.UNKNOWN
            }
        }

        it("names the entries of a conflict") {
            val answer = ApplyAnswer(
                ApplyResult.CONFLICT,
                revision = 9,
                changed = listOf("entries/a", "entries/b"),
                conflicting = listOf("entries/b"),
            )
            FakeDaemon { reply(answer, 409) }.use { daemon ->
                val run = apply(daemon)
                run.exitCode shouldBe ExitCode.REFUSED
                run.out shouldContain "changed by this file: entries/b"
            }
        }

        it("asks the next daemon when one cannot reach the store, and reports it when none can") {
            val unavailable = ApplyAnswer(ApplyResult.UNAVAILABLE, detail = "store down")
            FakeDaemon { reply(unavailable, 503) }.use { first ->
                FakeDaemon { reply(accepted) }.use { second -> apply(first, second).exitCode shouldBe ExitCode.SUCCESS }
                apply(first).exitCode shouldBe ExitCode.UNREACHABLE
            }
        }

        it("reports a wrong operators' token as refused") {
            FakeDaemon { reply(accepted) }.use { daemon ->
                boragerctl("catalogue", "apply", file.path, "--daemon", daemon.address, token = "wrong")
                    .exitCode shouldBe ExitCode.REFUSED
            }
        }

        it("contacts no daemon with a document that has findings or states no revision") {
            FakeDaemon { reply(accepted) }.use { daemon ->
                val wrong = tempfile().apply { writeText("""{"entries": [], "organisations": 3}""") }
                val without = tempfile().apply { writeText("""{"entries": [], "organisations": []}""") }
                boragerctl("catalogue", "apply", wrong.path, "--daemon", daemon.address).exitCode shouldBe
                    ExitCode.REFUSED
                boragerctl("catalogue", "apply", without.path, "--daemon", daemon.address).exitCode shouldBe
                    ExitCode.USAGE
                daemon.received.shouldBeEmpty()
            }
        }
    }
})
