package boragering.standins

import java.nio.file.Path
import java.security.MessageDigest
import kotlin.io.path.readText

/** The hash of the token in [file], as catalogues state it; a line end after the token does not count. */
fun tokenHash(file: Path): String = MessageDigest.getInstance("SHA-256")
    .digest(file.readText().trimEnd('\r', '\n').encodeToByteArray())
    .joinToString("", "sha256:") { "%02x".format(it) }
