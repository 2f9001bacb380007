package boragering.core.catalogue

import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.longOrNull
import kotlin.time.Duration

/** Readers for the types of values in settings and in the catalogue. */
object ValueReaders {
    /** A string that is not blank. */
    val text: ValueReader<String> = { element ->
        string(element)?.takeIf { it.isNotBlank() }?.right() ?: "a string that is not empty".left()
    }

    /** `true` or `false`. */
    val boolean: ValueReader<Boolean> = { element ->
        unquotedPrimitive(element)?.booleanOrNull?.right() ?: "true or false".left()
    }

    /** A list with elements of any type. */
    val list: ValueReader<JsonArray> = { (it as? JsonArray)?.right() ?: "a list".left() }

    /** A size in bytes. */
    val size: ValueReader<Long> = { element ->
        string(element)?.let { UnitFormat.size(it) } ?: UnitFormat.SIZE_DESCRIPTION.left()
    }

    internal val json: ValueReader<JsonObject> = { (it as? JsonObject)?.right() ?: "an object".left() }

    /** A string that matches [pattern] entirely; [expected] describes a valid string. */
    fun text(pattern: Regex, expected: String): ValueReader<String> = { element ->
        string(element)?.takeIf { pattern.matches(it) }?.right() ?: expected.left()
    }

    /** A whole number in [range]. */
    fun number(range: LongRange): ValueReader<Long> = { element ->
        unquotedPrimitive(element)?.longOrNull?.takeIf { it in range }?.right()
            ?: "a whole number from ${range.first} to ${range.last}".left()
    }

    /** A whole number in [range]. */
    fun integer(range: IntRange): ValueReader<Int> = { element ->
        number(range.first.toLong()..range.last.toLong())(element).map { it.toInt() }
    }

    /** A duration in [range]. */
    fun duration(range: ClosedRange<Duration>): ValueReader<Duration> = { element ->
        val bounds = "from ${UnitFormat.text(range.start)} to ${UnitFormat.text(range.endInclusive)}"
        (string(element)?.let { UnitFormat.duration(it) } ?: UnitFormat.DURATION_DESCRIPTION.left())
            .mapLeft { "$it, $bounds" }
            .flatMap { if (it in range) it.right() else "a duration $bounds".left() }
    }

    /** One of the names in [choices]. */
    fun <T : Any> choice(choices: Map<String, T>): ValueReader<T> = { element ->
        choices[string(element)]?.right() ?: "one of ${choices.keys.joinToString()}".left()
    }

    private fun string(element: JsonElement): String? =
        (element as? JsonPrimitive)?.takeIf { it.isString }?.content

    private fun unquotedPrimitive(element: JsonElement): JsonPrimitive? =
        (element as? JsonPrimitive)?.takeIf { !it.isString }
}
