package boragering.client

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempfile
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

class ConfigurationCheckTest : DescribeSpec({
    fun document(version: Int, prefix: String = "/a/", key: String = "key-of-the-town", timeout: Int = 2_000) = """
        {"Version":$version,
         "Routes":[{"Name":"r","Host":"h","Prefix":"$prefix","Kind":"idempotent","Service":"s","TimeoutMs":$timeout}],
         "Services":[{"Name":"s"}],
         "Tenants":[{"Name":"town","ApiKeys":["$key"]}]}
    """.trimIndent()

    fun file(text: String) = tempfile().apply { writeText(text) }.path

    fun check(vararg arguments: String) = boragerctl("configuration", "check", *arguments)

    describe("the check of a configuration") {
        it("succeeds with warnings alone (guards against a check that nobody can pass)") {
            val run = check(file(document(1, prefix = "/a")))
            run.exitCode shouldBe ExitCode.SUCCESS
            run.out shouldContain ":2: Routes[0].Prefix never matches"
            run.out shouldContain "0 errors, 1 warning, 0 notices"
        }

        it("is refused with an error (guards against a script that goes on)") {
            val run = check(file(document(1, timeout = 0)))
            run.exitCode shouldBe ExitCode.REFUSED
            run.out shouldContain "error: "
        }

        it("is refused if the file is cut off (guards against a stack trace)") {
            check(file(document(1).dropLast(3))).exitCode shouldBe ExitCode.REFUSED
        }

        it("is a usage error without a file that can be read (guards against taking it for a finding)") {
            check().exitCode shouldBe ExitCode.USAGE
            check("/no/such/file").exitCode shouldBe ExitCode.USAGE
            check(file(document(1)), "--in-force", "/no/such/file").exitCode shouldBe ExitCode.USAGE
            check(file(document(1)), "--output", "xml").exitCode shouldBe ExitCode.USAGE
        }

        it("shows the differences without the keys (guards against keys in the records of a terminal)") {
            val run = check(file(document(2, key = "another-key", timeout = 3_000)), "--in-force", file(document(1)))
            run.exitCode shouldBe ExitCode.SUCCESS
            run.out shouldContain "changed Routes/r\n  TimeoutMs: 2000 -> 3000"
            run.out shouldContain "ApiKeys: key-... (removed) -> anot... (added)"
            run.out shouldNotContain "another-key"
        }

        it("writes findings and differences as JSON (guards against scripts that read the text)") {
            val files = arrayOf(file(document(1, prefix = "/b")), "--in-force", file(document(1)))
            val run = check(*files, "--output", "json")
            val answer = Json.parseToJsonElement(run.out).jsonObject
            answer.getValue("findings").jsonArray.map { it.jsonObject.getValue("path").jsonPrimitive.content } shouldBe
                listOf("Version", "Routes[0].Prefix")
            answer.getValue("differences").jsonArray.single().jsonObject.getValue("name").jsonPrimitive.content shouldBe
                "Routes/r"
        }
    }
})
