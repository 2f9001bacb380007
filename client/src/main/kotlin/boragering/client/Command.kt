package boragering.client

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import boragering.core.catalogue.UnitFormat
import org.kohsuke.args4j.Option
import java.io.IOException
import java.nio.file.Files
import java.nio.file.InvalidPathException
import java.nio.file.Path
import kotlin.time.Duration

/** One command with its options; [operands] stand after its name in the usage. */
internal abstract class Command(val summary: String, val operands: String = "") {
    @Option(name = "--output", metaVar = "text|json", usage = "form of the result; text without it")
    var output: Output = Output.TEXT

    @Option(name = "--help", aliases = ["-h"], help = true, usage = "show this text")
    var help: Boolean = false

    /** Runs the command. */
    suspend fun run(console: Console): Either<CommandFailure, Result> = either { execute(console) }

    protected abstract suspend fun Raise<CommandFailure>.execute(console: Console): Result
}

/** A command that asks daemons. */
internal abstract class RemoteCommand(summary: String, operands: String = "") : Command(summary, operands) {
    @Option(
        name = "--daemon",
        metaVar = "HOST:PORT",
        usage = "operator address of a daemon; given several times, the next one is asked when one is " +
            "unreachable",
    )
    private var daemons: MutableList<String> = ArrayList()

    @Option(
        name = "--token-file",
        metaVar = "FILE",
        usage = "file with the operators' token; without it the environment variable $TOKEN_VARIABLE is used",
    )
    private var tokenFile: String? = null

    @Option(name = "--timeout", metaVar = "DURATION", usage = "longest wait for each call; 15s without it")
    private var timeout: String = "15s"

    override suspend fun Raise<CommandFailure>.execute(console: Console): Result {
        prepare(console)
        ensure(daemons.isNotEmpty()) { usage("--daemon is missing") }
        daemons.forEach { ensure(ADDRESS.matches(it)) { usage("--daemon $it is not of the form host:port") } }
        val limit = duration("--timeout", timeout)
        val token = tokenFile?.let { readFile(it).trim() } ?: console.environment[TOKEN_VARIABLE].orEmpty()
        ensure(token.isNotBlank() && token.none { it.isISOControl() }) {
            usage("there is no usable token: give --token-file or set $TOKEN_VARIABLE")
        }
        return OperatorClient(token, limit).use { ask(Daemons(it, daemons, Progress(console.err)), console) }
    }

    /** Checks options and files before any daemon is asked. */
    protected open fun Raise<CommandFailure>.prepare(console: Console) = Unit

    protected abstract suspend fun Raise<CommandFailure>.ask(daemons: Daemons, console: Console): Result

    private companion object {
        const val TOKEN_VARIABLE = "BORAGERING_OPERATOR_TOKEN"
        val ADDRESS = Regex("([A-Za-z0-9._-]+|\\[[0-9A-Fa-f:.]+]):[0-9]{1,5}")
    }
}

internal fun usage(detail: String) = CommandFailure(ExitCode.USAGE, detail)

internal fun Raise<CommandFailure>.duration(option: String, text: String): Duration =
    UnitFormat.duration(text).fold({ raise(usage("$option $text is not $it")) }, { it })

internal fun Raise<CommandFailure>.readFile(name: String): String = read(name) { Files.readString(it) }

/** Returns the content of the file, and of a larger one the first [limit] + 1 bytes, by which it can be rejected. */
internal fun Raise<CommandFailure>.readBytes(name: String, limit: Int): ByteArray =
    read(name) { path -> Files.newInputStream(path).use { it.readNBytes(limit + 1) } }

private fun <T> Raise<CommandFailure>.read(name: String, read: (Path) -> T): T =
    try {
        read(Path.of(name))
    } catch (exception: IOException) {
        raise(usage("$name cannot be read: ${exception.javaClass.simpleName} ${exception.message}"))
    } catch (exception: InvalidPathException) {
        raise(usage("$name is not a file name: ${exception.reason}"))
    }
