package boragering.core.catalogue

/**
 * Finds the line of each value in a JSON text that a parser has accepted, and the keys that stand twice in one object,
 * which the parser passes over in silence. Paths have the form `entries[2].limits`.
 */
internal class JsonScan(private val text: String) {
    private val found = HashMap<String, Int>()
    private val twice = ArrayList<String>()
    private val levels = ArrayDeque<Level>()
    private var position = 0
    private var line = 1

    /** The line of each path, from 1. */
    val lines: Map<String, Int> get() = found

    /** Paths of keys that stand twice. */
    val repeated: List<String> get() = twice

    init {
        while (position < text.length) {
            step()
        }
    }

    private fun step() {
        val character = text[position]
        when (character) {
            '{', '[' -> open(character == '[')
            '}', ']' -> close()
            ',' -> levels.lastOrNull()?.advance()
            '"' -> string()
            '\n' -> line++
            else -> if (!character.isWhitespace() && character != ':') mark()
        }
        position++
    }

    private fun open(list: Boolean) {
        mark()
        levels.addLast(Level(if (levels.size < MAXIMUM_DEPTH) levels.lastOrNull()?.path().orEmpty() else "", list))
    }

    private fun close() {
        levels.removeLastOrNull()
    }

    private fun string() {
        val start = position + 1
        position = start
        while (position < text.length && text[position] != '"') {
            position += if (text[position] == '\\') 2 else 1
        }
        val level = levels.lastOrNull()
        if (level != null && level.expectsKey) {
            level.name(text.substring(start, minOf(position, text.length)))
            if (levels.size <= MAXIMUM_DEPTH && found.put(level.path(), line) != null) twice += level.path()
        } else {
            mark()
        }
    }

    private fun mark() {
        if (levels.size <= MAXIMUM_DEPTH) found.putIfAbsent(levels.lastOrNull()?.path().orEmpty(), line)
    }

    private class Level(private val parent: String, private val list: Boolean) {
        private var index = 0
        private var key: String? = null

        val expectsKey: Boolean get() = !list && key == null

        fun name(value: String) {
            key = value
        }

        fun advance() {
            index++
            key = null
        }

        fun path(): String = when {
            list -> "$parent[$index]"
            parent.isEmpty() -> key.orEmpty()
            else -> "$parent.$key"
        }
    }

    private companion object {
        // Documents of this project are less deep; without a bound, the paths of a hostile one would fill the memory.
        const val MAXIMUM_DEPTH = 32
    }
}
