package boragering.core.catalogue

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import boragering.core.Finding
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Converts a JSON element to a value; the left side describes a valid value. */
typealias ValueReader<T> = (JsonElement) -> Either<String, T>

/** Collects the findings about one JSON text and adds line numbers. Not safe for use by several threads. */
class FindingCollector internal constructor(private val lines: Map<String, Int>) {
    private val collected = ArrayList<Finding>()

    /** The findings so far, in the order of their lines. */
    val findings: List<Finding> get() = collected.sortedBy { it.line ?: 0 }

    /** Adds a finding about [path]. If the path is missing from the text, the finding gets the line of its parent. */
    fun add(path: String, message: String, expected: String? = null) {
        val line = lines[path] ?: lines[path.substringBeforeLast('.', "")]
        collected += Finding(path, message, expected, line)
    }
}

/**
 * Reads one JSON object that a person wrote. Every error becomes a finding with its path and line, and reading
 * continues, so that all errors are reported together. Findings never quote a value, because it may be a secret that
 * was entered in the wrong place.
 */
class ObjectReader private constructor(
    private val path: String,
    private val json: JsonObject,
    private val collector: FindingCollector,
) {
    private val requestedKeys = HashSet<String>()

    /** Reads a required value; returns `null` if it is missing or invalid, which adds a finding. */
    fun <T> required(key: String, reader: ValueReader<T>): T? {
        if (value(key) == null) collector.add(pathOf(key), "is missing", reader(JsonNull).leftOrNull())
        return read(key, reader)
    }

    /** Reads an optional value; returns [default] if it is absent, or if it is invalid, which adds a finding. */
    fun <T> optional(key: String, default: T, reader: ValueReader<T>): T = read(key, reader) ?: default

    /** Returns a reader of the required object under [key], or `null` after adding a finding. */
    fun child(key: String): ObjectReader? =
        required(key, ValueReaders.json)?.let { ObjectReader(pathOf(key), it, collector) }

    /** Returns readers of the objects in the list under [key]; an absent list counts as empty. */
    fun children(key: String): List<ObjectReader> =
        optional(key, JsonArray(emptyList()), ValueReaders.list).mapIndexedNotNull { index, element ->
            val elementPath = "${pathOf(key)}[$index]"
            if (element !is JsonObject) collector.add(elementPath, describe(element), "an object")
            (element as? JsonObject)?.let { ObjectReader(elementPath, it, collector) }
        }

    /** Adds a finding about [key]. */
    fun addFinding(key: String, message: String, expected: String? = null) =
        collector.add(pathOf(key), message, expected)

    /** Whether [key] is present. */
    fun has(key: String): Boolean = value(key) != null

    /** Adds a finding for every key that was not read; to be called after all known keys have been read. */
    fun rejectUnknown() {
        val expected = "one of ${requestedKeys.sorted().joinToString()}"
        (json.keys - requestedKeys).forEach { collector.add(pathOf(it), "is an unknown key", expected) }
    }

    private fun value(key: String): JsonElement? {
        requestedKeys += key
        return json[key]
    }

    private fun <T> read(key: String, reader: ValueReader<T>): T? =
        value(key)?.let { element ->
            reader(element).onLeft { collector.add(pathOf(key), describe(element), it) }.getOrNull()
        }

    private fun pathOf(key: String): String = if (path.isEmpty()) key else "$path.$key"

    companion object {
        private val OFFSET = Regex("at offset ([0-9]+)")

        /**
         * Parses [text], reads it with [read] and returns the result, or all findings if there are any. A text that is
         * not a JSON object gives one finding.
         */
        fun <T : Any> parse(text: String, read: (ObjectReader) -> T?): Either<List<Finding>, T> =
            Either.catchOrThrow<SerializationException, JsonElement> { Json.parseToJsonElement(text) }
                .mapLeft { listOf(syntaxFinding(text, it)) }
                .fold({ it.left() }) { readRoot(text, it, read) }

        private fun <T : Any> readRoot(
            text: String,
            root: JsonElement,
            read: (ObjectReader) -> T?,
        ): Either<List<Finding>, T> {
            val lineIndex = JsonLineIndex(text)
            val collector = FindingCollector(lineIndex.lines)
            lineIndex.duplicateKeys
                .forEach { collector.add(it, "appears more than once in the same object", "one value") }
            val result = when (root) {
                is JsonObject -> read(ObjectReader("", root, collector))
                else -> null.also { collector.add("", describe(root), "an object") }
            }
            return if (result == null || collector.findings.isNotEmpty()) collector.findings.left() else result.right()
        }

        private fun syntaxFinding(text: String, exception: SerializationException): Finding {
            val offset = OFFSET.find(exception.message.orEmpty())?.groupValues?.get(1)?.toIntOrNull()
            val line = offset?.let { end -> text.take(end).count { it == '\n' } + 1 }
            return Finding("", "is not valid JSON", "a JSON object", line)
        }

        private fun describe(element: JsonElement): String = when (element) {
            is JsonObject -> "is an object"
            is JsonArray -> "is a list"
            is JsonNull -> "is null"
            is JsonPrimitive -> if (element.isString) "is a string in the wrong format" else "has an invalid value"
        }
    }
}
