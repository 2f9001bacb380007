package boragering.daemon

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import boragering.core.Finding
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/** Reads secrets from their files and environment variables. Findings contain the settings path, never the secret. */
internal class SecretReader(private val environment: (String) -> String?) {
    /** Reads the secret of [reference], which is set at [path] in the settings. */
    fun read(path: String, reference: SecretReference): Either<Finding, String> {
        val secret =
            when (reference) {
                is SecretReference.File -> readFile(reference.path)
                is SecretReference.Variable -> environment(reference.name)
            }?.trim()
        return if (secret != null && secret.length >= MINIMUM_CHARACTERS) {
            secret.right()
        } else {
            Finding(path, "has no readable secret", "a secret of at least $MINIMUM_CHARACTERS characters").left()
        }
    }

    private fun readFile(path: String): String? =
        try {
            Path.of(path).readText()
        } catch (_: IOException) {
            null
        }

    private companion object {
        const val MINIMUM_CHARACTERS = 8
    }
}
