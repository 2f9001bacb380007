package boragering.client

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import java.io.PrintStream

/** Where a command writes, and what it reads of its surroundings. */
class Console(
    internal val out: PrintStream,
    internal val err: PrintStream,
    internal val environment: Map<String, String>,
    internal val nowMilliseconds: () -> Long = System::currentTimeMillis,
)

/** Form of a command's result. */
enum class Output { TEXT, JSON }

/** The result of a command in both forms. */
internal data class Result(val exitCode: ExitCode, val text: String, val json: String)

internal object Answers {
    private val format = Json {
        ignoreUnknownKeys = true
        prettyPrint = true
        encodeDefaults = true
    }

    fun <T> text(serializer: KSerializer<T>, value: T): String = format.encodeToString(serializer, value)

    fun <T> read(serializer: KSerializer<T>, text: String): T = format.decodeFromString(serializer, text)
}

/** Replaces control characters, which could steer the operator's terminal. */
internal fun printable(text: String): String =
    text.map { if (it.isISOControl() && it != '\n') ' ' else it }.joinToString("")

/** Aligns [rows] in columns below [header]. */
internal fun table(header: List<String>, rows: List<List<String>>): String {
    val all = listOf(header) + rows
    val widths = header.indices.map { column -> all.maxOf { it[column].length } }
    return all.joinToString("\n") { row ->
        row.indices.joinToString("  ") { printable(row[it]).replace('\n', ' ').padEnd(widths[it]) }.trimEnd()
    }
}
