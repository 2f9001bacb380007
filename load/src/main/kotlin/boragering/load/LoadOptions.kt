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

    /** Reads the file and applies the other options. */
    fun read(): Workload {
        val file = Workload.read(workload)
        val mix = file.requests.copy(longShare = longShare ?: file.requests.longShare)
        return file.copy(seed = seed ?: file.seed, requests = mix).also { it.check() }
    }
}
