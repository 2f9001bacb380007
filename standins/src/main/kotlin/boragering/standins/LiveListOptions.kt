package boragering.standins

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option

/** Options of the live list. */
internal class LiveListOptions : PortOptions() {
    @field:Option(name = "--lag", usage = "age of what readers see")
    var lag: String = "0ms"
}

/** Options of the token hash. */
internal class TokenHashOptions {
    @field:Argument(required = true, metaVar = "FILE", usage = "file with the token")
    var file: String = ""
}
