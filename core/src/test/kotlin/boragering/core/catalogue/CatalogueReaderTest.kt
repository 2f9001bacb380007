package boragering.core.catalogue

import arrow.core.Either
import boragering.core.EntryName
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlin.time.Duration.Companion.hours

class CatalogueReaderTest : DescribeSpec({
    fun findings(text: String) = CatalogueReader.read(text).leftOrNull().orEmpty()

    fun paths(vararg entries: String) = findings(Documents.of(*entries)).map { it.path }

    describe("a valid document") {
        it("is read, and its canonical form reads back as the same catalogue") {
            val read = CatalogueReader.read(Documents.of(Documents.model("m"), Documents.service("s")))
            val catalogue = read.getOrNull().shouldNotBeNull().catalogue
            catalogue.entries.getValue(EntryName("s")).claimRetention shouldBe 24.hours
            CatalogueReader.read(CatalogueFormat.of(catalogue)) shouldBe Either.Right(CatalogueDocument(0, catalogue))
        }
    }

    describe("findings") {
        it("are all reported at once with path and line") {
            val text = """
                {"organisations": [{"name": "o", "tokenHash": "md5:0"}],
                 "entries": [
                   {"name": "Big", "owner": "t", "kind": "service", "pool": "p", "colour": "red",
                    "class": {"urgency": "high", "length": "short", "repeatable": true},
                    "limits": {"concurrency": 0, "queueLength": 1, "queueTime": 2, "deadline": "10 s",
                               "requestsPerSecond": 1, "requestsPerSecond": 2, "groupSize": 4}}]}
            """.trimIndent()
            findings(text).map { it.path to it.line } shouldContainExactlyInAnyOrder listOf(
                "organisations[0].tokenHash" to 1,
                "entries[0].name" to 3,
                "entries[0].colour" to 3,
                "entries[0].routes" to 3,
                "entries[0].class.urgency" to 4,
                "entries[0].limits.concurrency" to 5,
                "entries[0].limits.queueTime" to 5,
                "entries[0].limits.deadline" to 5,
                "entries[0].limits.requestsPerSecond" to 6,
                "entries[0].limits.groupSize" to 6,
            )
        }

        it("about a syntax error have a line number") {
            findings("{\n \"entries\": [\n}").single().line shouldBe 3
        }

        it("describe the expected format") {
            val text = Documents.of(Documents.service("a", queueTime = "2"))
            findings(text).single().expected.shouldNotBeNull() shouldContain "ms, s, m or h"
        }
    }

    describe("a contradiction") {
        it("between claim retention and deadline is reported, since a late repeat would run again") {
            val entry = Documents.service("a").replace("\"routes\"", "\"claimRetention\": \"99s\", \"routes\"")
            paths(entry) shouldContain "entries[0].claimRetention"
        }

        it("of a queue time above the deadline is reported") {
            paths(Documents.service("a", queueTime = "11s")) shouldContain "entries[0].limits.queueTime"
        }

        it("of missing group size and replicas is reported") {
            paths(Documents.model("m", limits = "")) shouldContainExactlyInAnyOrder
                listOf("entries[0].limits.groupSize", "entries[0].limits.replicas")
        }

        it("of duplicate names is a fault") {
            paths(Documents.model("m"), Documents.model("m")) shouldContain "entries[1].name"
        }

        it("of a service that shares a pool is reported, whereas models may share one") {
            val shared = Documents.service("s").replace("\"pool\": \"s\"", "\"pool\": \"gpu\"")
            paths(Documents.model("m"), shared) shouldContain "entries[1].pool"
            paths(Documents.model("m"), Documents.model("n")) shouldBe emptyList()
        }
    }

    describe("a difference") {
        it("names the entry and the values") {
            val before = CatalogueReader.read(Documents.of(Documents.service("a"))).getOrNull().shouldNotBeNull()
            val after = CatalogueReader.read(Documents.of(Documents.service("a", owner = "x"), Documents.model("m")))
                .getOrNull().shouldNotBeNull()
            CatalogueDiff.between(before.catalogue, after.catalogue) shouldBe listOf(
                CatalogueDifference("entries/a", DifferenceKind.CHANGED, listOf("owner: \"team\" -> \"x\"")),
                CatalogueDifference("entries/m", DifferenceKind.ADDED),
            )
        }
    }
})
