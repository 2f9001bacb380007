package boragering.standins

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import kotlin.time.Duration

/** Options of every stand-in. */
internal open class PortOptions {
    @field:Option(name = "--port", usage = "port to bind, 0 to choose a free one")
    var port: Int = 0

    @field:Option(name = "--end-with-input", usage = "end when standard input ends, as it does when the parent dies")
    var endWithInput: Boolean = false
}

/** Sets [options] from [arguments]; explains errors on standard error and returns false. */
internal fun parse(arguments: List<String>, options: Any): Boolean {
    val parser = CmdLineParser(options)
    return try {
        parser.parseArgument(arguments)
        true
    } catch (invalid: CmdLineException) {
        System.err.println(invalid.message)
        parser.printUsage(System.err)
        false
    }
}

/** Reads a duration with its unit, for example `20ms`. */
internal fun duration(text: String): Duration = Duration.parse(text)
