package boragering.daemon

/** The daemon's secrets. They never appear in logs or answers. */
internal class Secrets(val peers: String, val operators: String) {
    override fun toString(): String = "Secrets(hidden)"
}
