package boragering.fleet

/** Makes API keys recognisable without disclosing them. */
object KeyMask {
    private const val SHOWN = 4

    /** Returns the first four characters of [key], or its first half if that is shorter, followed by `...`. */
    fun of(key: String): String = key.take(minOf(SHOWN, key.length / 2)) + "..."
}
