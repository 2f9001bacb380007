package boragering.scenarios

import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.random.Random

/** A token with the file that holds it. */
internal class Secret private constructor(val file: Path, val value: String) {
    companion object {
        private const val BYTES = 16

        /** Makes a new token; it guards nothing but this deployment's loopback ports. */
        fun create(file: Path): Secret {
            val value = Random.nextBytes(BYTES).joinToString("") { "%02x".format(it) }
            file.writeText(value)
            return Secret(file, value)
        }
    }
}

/** The tokens of one deployment. */
internal class Secrets(directory: Path, organisations: List<String>) {
    val operators = Secret.create(directory.resolve("operators.secret"))
    val peers = Secret.create(directory.resolve("peers.secret"))
    val organisations = organisations.associateWith { Secret.create(directory.resolve("organisation-$it.secret")) }
}
