package boragering.core.catalogue

/**
 * Finds the line of each value in a JSON text that a parser has accepted, and the keys that appear more than once in
 * the same object, which the parser does not report. Paths have the form `entries[2].limits`.
 */
class JsonLineIndex(private val text: String) {
    private val lineByPath = HashMap<String, Int>()
    private val duplicates = ArrayList<String>()
    private val containers = ArrayDeque<Container>()
    private var position = 0
    private var line = 1

    /** The line number of each path, starting at 1. */
    val lines: Map<String, Int> get() = lineByPath

    /** Paths of keys that appear more than once in the same object. */
    val duplicateKeys: List<String> get() = duplicates

    init {
        while (position < text.length) {
            scanCharacter()
        }
    }

    private fun scanCharacter() {
        val character = text[position]
        when (character) {
            '{', '[' -> open(character == '[')
            '}', ']' -> close()
            ',' -> containers.lastOrNull()?.startNextElement()
            '"' -> scanString()
            '\n' -> line++
            else -> if (!character.isWhitespace() && character != ':') recordLine()
        }
        position++
    }

    private fun open(list: Boolean) {
        recordLine()
        containers.addLast(
            Container(if (containers.size < MAXIMUM_DEPTH) containers.lastOrNull()?.path().orEmpty() else "", list),
        )
    }

    private fun close() {
        containers.removeLastOrNull()
    }

    private fun scanString() {
        val start = position + 1
        position = start
        while (position < text.length && text[position] != '"') {
            position += if (text[position] == '\\') 2 else 1
        }
        val container = containers.lastOrNull()
        if (container != null && container.expectsKey) {
            container.startMember(text.substring(start, minOf(position, text.length)))
            if (containers.size <= MAXIMUM_DEPTH && lineByPath.put(container.path(), line) != null) {
                duplicates += container.path()
            }
        } else {
            recordLine()
        }
    }

    private fun recordLine() {
        if (containers.size <= MAXIMUM_DEPTH) lineByPath.putIfAbsent(containers.lastOrNull()?.path().orEmpty(), line)
    }

    private class Container(private val parent: String, private val list: Boolean) {
        private var index = 0
        private var key: String? = null

        val expectsKey: Boolean get() = !list && key == null

        fun startMember(value: String) {
            key = value
        }

        fun startNextElement() {
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
        // Valid documents are less deep. Without a limit, the paths of a malicious document could exhaust the memory.
        const val MAXIMUM_DEPTH = 32
    }
}
