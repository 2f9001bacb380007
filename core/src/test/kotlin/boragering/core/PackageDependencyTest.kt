package boragering.core

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import java.io.File

/** The packages that each package may import from, in addition to the shared types of `boragering.core`. */
private val ALLOWED_DEPENDENCIES = mapOf(
    "" to emptySet(),
    "timeline" to emptySet(),
    "membership" to setOf("timeline"),
    "catalogue" to setOf("timeline", "membership"),
    "claims" to emptySet(),
    "groups" to setOf("timeline", "membership", "catalogue"),
    "requests" to setOf("timeline", "membership", "catalogue", "claims", "groups"),
    "operators" to setOf("timeline", "membership", "catalogue", "groups"),
)

class PackageDependencyTest : DescribeSpec({
    val root = File("src/main/kotlin/boragering/core")
    val import = Regex("""^import boragering\.core\.([a-z]+)\.""", RegexOption.MULTILINE)

    describe("the packages of the module") {
        it("are all listed with their allowed dependencies (guards against a new package without a rule)") {
            root.listFiles().orEmpty().filter { it.isDirectory }.map { it.name }.toSet() shouldBe
                ALLOWED_DEPENDENCIES.keys - ""
        }

        ALLOWED_DEPENDENCIES.forEach { (name, allowed) ->
            it("import only from allowed packages: ${name.ifEmpty { "core" }} (guards against dependency cycles)") {
                val files = File(root, name).listFiles().orEmpty().filter { it.extension == "kt" }
                val foreign = files.flatMap { file ->
                    import.findAll(file.readText()).map { it.groupValues[1] }
                        .filter { it != name && it !in allowed }.map { "${file.name} uses $it" }
                }
                foreign.shouldBeEmpty()
            }
        }
    }
})
