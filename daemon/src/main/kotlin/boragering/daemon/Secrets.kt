package boragering.daemon

/** The secrets shared with peers and with operators. They must never appear in logs or answers. */
internal class Secrets(val peers: String, val operators: String) {
    override fun toString(): String = "Secrets(hidden)"
}
