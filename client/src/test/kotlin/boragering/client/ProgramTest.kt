package boragering.client

import boragering.core.AvailabilityZone
import boragering.core.DaemonId
import boragering.core.EntryName
import boragering.core.GroupId
import boragering.core.RequestId
import boragering.core.catalogue.CatalogueAnswer
import boragering.core.groups.HealthFinding
import boragering.core.membership.Registration
import boragering.core.operators.PeersAnswer
import boragering.core.operators.RequestAnswer
import boragering.core.operators.StatusAnswer
import boragering.core.operators.TimelineAnswer
import boragering.core.timeline.HybridTime
import boragering.core.timeline.TimelineEntry
import boragering.core.timeline.TimelineEvent
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempfile
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

class ProgramTest : DescribeSpec({
    fun <T> reply(serializer: KSerializer<T>, value: T) = Reply(Json.encodeToString(serializer, value))

    fun registration(name: String, address: String) =
        Registration(DaemonId(name), "-", address, "-", AvailabilityZone("z"), "r")

    fun status(name: String) = reply(
        StatusAnswer.serializer(),
        StatusAnswer(
            daemon = DaemonId(name),
            availabilityZone = AvailabilityZone("z"),
            region = "r",
            ready = true,
            draining = false,
            catalogueRevision = 3,
            storeReachable = true,
            liveDaemons = emptyList(),
            entries = emptyList(),
            findings = listOf(HealthFinding(null, EntryName("m"), 2, 1, "no spare instance of $name", 0)),
        ),
    )

    fun event(daemon: String, at: Long, text: String) =
        TimelineEvent(HybridTime(at, 0, DaemonId(daemon)), TimelineEntry("test", text, GroupId("g")))

    /** Two daemons that know each other and a third one, which cannot be reached. */
    fun fleet(block: (FakeDaemon, FakeDaemon) -> Unit) {
        val addresses = ArrayList<String>()
        fun daemon(name: String, at: Long) = FakeDaemon { received ->
            val events = listOf(event(name, at, "seen by $name"), event("shared", 2, "in the division"))
            when (received.path) {
                "/operator/peers" -> {
                    val registrations = (addresses + "127.0.0.1:1").map { registration(it, it) }
                    reply(PeersAnswer.serializer(), PeersAnswer(registrations))
                }
                "/operator/status" -> status(name)
                "/operator/requests/r-1" ->
                    reply(RequestAnswer.serializer(), RequestAnswer(RequestId("r-1"), events))
                else -> reply(TimelineAnswer.serializer(), TimelineAnswer(DaemonId(name), events))
            }
        }
        daemon("a", 3).use { a ->
            daemon("b", 1).use { b ->
                addresses += listOf(a.address, b.address)
                block(a, b)
            }
        }
    }

    describe("the command line") {
        it("has help for the program and every command") {
            val help = boragerctl("--help")
            help.exitCode shouldBe ExitCode.SUCCESS
            val commands = help.out.lines().filter { it.startsWith("  ") && it[2].isLetter() }
            commands.size shouldBe 10
            commands.map { it.trim().substringBefore("  ") }.forEach { command ->
                val run = boragerctl(*command.split(' ').toTypedArray(), "--help")
                run.exitCode shouldBe ExitCode.SUCCESS
                run.out shouldContain "--output"
            }
        }

        it("with a mistake is a usage error") {
            boragerctl("no-such-command").exitCode shouldBe ExitCode.USAGE
            boragerctl("status").exitCode shouldBe ExitCode.USAGE
            boragerctl("status", "--daemon", "http://x").exitCode shouldBe ExitCode.USAGE
            boragerctl("status", "--daemon", "x:1", "--timeout", "5").exitCode shouldBe ExitCode.USAGE
            boragerctl("status", "--daemon", "x:1", token = "").exitCode shouldBe ExitCode.USAGE
        }
    }

    describe("reading") {
        it("asks the next daemon when one is unreachable or not ready") {
            FakeDaemon { Reply("{}", 503) }.use { notReady ->
                FakeDaemon { reply(CatalogueAnswer.serializer(), CatalogueAnswer(4, "of second")) }.use { second ->
                    val unreachable =
                        listOf("catalogue", "show", "--daemon", "127.0.0.1:1", "--daemon", notReady.address)
                    val run = boragerctl(*unreachable.toTypedArray(), "--daemon", second.address)
                    run.exitCode shouldBe ExitCode.SUCCESS
                    run.out shouldContain "second"
                    boragerctl(*unreachable.toTypedArray()).exitCode shouldBe ExitCode.UNREACHABLE
                }
            }
        }

        it("shows the status and the findings of every daemon, and names the one that cannot be reached") {
            fleet { a, _ ->
                val run = boragerctl("status", "--daemon", a.address)
                run.exitCode shouldBe ExitCode.SUCCESS
                listOf("a  ", "b  ", "no spare instance of a", "no spare instance of b", "no status of 127.0.0.1:1")
                    .forEach { run.out shouldContain it }
            }
        }

        it("ends when a daemon does not answer, and says what it waits for") {
            FakeDaemon { Reply(null) }.use { daemon ->
                val run = boragerctl("status", "--daemon", daemon.address, "--timeout", "1500ms")
                run.exitCode shouldBe ExitCode.UNREACHABLE
                run.err shouldContain "waiting for ${daemon.address}"
            }
        }

        it("shows the differences to the catalogue in force") {
            val current = """{"revision": 4, "organisations": [], "entries": []}"""
            val organisation = """{"name": "o", "tokenHash": "sha256:${"a".repeat(64)}"}"""
            val document = """{"revision": 3, "organisations": [$organisation], "entries": []}"""
            val file = tempfile().apply { writeText(document) }
            FakeDaemon { reply(CatalogueAnswer.serializer(), CatalogueAnswer(4, current)) }.use { daemon ->
                val run = boragerctl("catalogue", "diff", file.path, "--daemon", daemon.address)
                run.out shouldContain "based on revision 3; the current one is 4"
                run.out shouldContain "added organisations/o"
            }
        }
    }

    describe("the time line") {
        it("merges the events of all daemons and names those that cannot be reached") {
            fleet { a, b ->
                val run = boragerctl("timeline", "--daemon", a.address, "--group", "g", "--since", "1m")
                run.exitCode shouldBe ExitCode.SUCCESS
                val texts = run.out.lines().map { it.substringAfterLast("  ") }
                texts.take(3) shouldBe listOf("seen by b", "in the division", "seen by a")
                run.out shouldContain "no events of 127.0.0.1:1"
                b.received.single().query shouldBe
                    mapOf("group" to "g", "since" to "${NOW - 60_000}", "limit" to "5000")
            }
        }

        it("with a limit shows the newest events of all daemons and says so") {
            fleet { a, _ ->
                val run = boragerctl("timeline", "--daemon", a.address, "--limit", "2")
                run.out.lines().take(2).map { it.substringAfterLast("  ") } shouldBe
                    listOf("in the division", "seen by a")
                run.out shouldContain "only the newest 2 events are shown"
            }
        }

        it("is written as JSON and as a page") {
            fleet { a, _ ->
                val page = tempfile()
                val json = boragerctl("timeline", "--daemon", a.address, "--output", "json").out
                val answer = Json.decodeFromString(EventsAnswer.serializer(), json)
                answer.events.size shouldBe 3
                answer.unreachable.size shouldBe 1
                boragerctl("timeline", "--daemon", a.address, "--html", page.path).exitCode shouldBe ExitCode.SUCCESS
                page.readText() shouldContain "<circle"
            }
        }

        it("of one request comes from all daemons") {
            fleet { a, _ ->
                val run = boragerctl("requests", "r-1", "--daemon", a.address)
                run.exitCode shouldBe ExitCode.SUCCESS
                run.out shouldContain "seen by b"
            }
        }
    }
})
