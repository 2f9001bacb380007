package boragering.load

import org.kohsuke.args4j.Option
import java.nio.file.Path

/** The options of the program. */
internal class LoadOptions {
    @field:Option(name = "--workload", required = true, usage = "workload file")
    var workload: Path = Path.of("")

    @field:Option(name = "--seed", usage = "seed instead of the file's")
    var seed: Int? = null

    @field:Option(name = "--long-share", usage = "part of long requests, 0 to 1, instead of the file's")
    var longShare: Double? = null

    @field:Option(name = "--selection", usage = "policy: random, round-robin, least-in-flight or power-of-two")
    var selection: String = "power-of-two"

    @field:Option(name = "--against", usage = "second policy; the same workload runs once with each")
    var against: String? = null

    @field:Option(name = "--half-direct", usage = "send every second request straight to an engine")
    var halfDirect: Boolean = false

    @field:Option(name = "--json", usage = "file for the summaries as JSON")
    var json: Path? = null

    @field:Option(name = "--html", usage = "file for a page with first-token times over the run")
    var html: Path? = null

    /** The policies to run, in order; a wrong name is an error before anything starts. */
    val selections: List<String>
        get() = listOfNotNull(selection, against).onEach {
            require(it in POLICIES) { "policy '$it' is none of ${POLICIES.joinToString()}" }
        }

    /** Reads the file and applies the other options. */
    fun read(): Workload {
        val file = Workload.read(workload)
        val mix = file.requests.copy(longShare = longShare ?: file.requests.longShare)
        return file.copy(seed = seed ?: file.seed, requests = mix).also { it.check() }
    }

    private companion object {
        val POLICIES = listOf("random", "round-robin", "least-in-flight", "power-of-two")
    }
}
