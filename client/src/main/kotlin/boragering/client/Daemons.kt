package boragering.client

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.Raise
import boragering.core.operators.PeersAnswer
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.sync.withPermit
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import java.util.concurrent.atomic.AtomicInteger

/** The daemons that the operator named, tried in order. */
internal class Daemons(
    private val client: OperatorClient,
    val addresses: List<String>,
    private val progress: Progress,
) {
    /** Sends one call to one daemon. */
    suspend fun call(address: String, call: OperatorCall): CallResult =
        progress.during({ "waiting for $address" }) { client.call(address, call) }

    /** Reads from the first daemon that answers; a daemon that is not ready (status 503) counts as unreachable. */
    suspend fun <T> read(raise: Raise<CommandFailure>, call: OperatorCall, serializer: KSerializer<T>): T {
        val failures = ArrayList<String>()
        for (address in addresses) {
            when (val result = decoded(address, call(address, call), serializer)) {
                is Either.Right -> return result.value
                is Either.Left -> {
                    if (result.value.exitCode != ExitCode.UNREACHABLE) raise.raise(result.value)
                    failures += result.value.detail
                }
            }
        }
        raise.raise(CommandFailure(ExitCode.UNREACHABLE, "no daemon answered: ${failures.joinToString("; ")}"))
    }

    /**
     * Reads the list of daemons from one of them and then asks all, [CONCURRENCY] at a time. The result names the
     * daemons without an answer, with the reasons. [collect] takes the answers one after the other.
     */
    suspend fun <T> readAll(
        raise: Raise<CommandFailure>,
        call: OperatorCall,
        serializer: KSerializer<T>,
        collect: (T) -> Unit,
    ): List<String> {
        val peers = read(raise, OperatorCall("/operator/peers"), PeersAnswer.serializer())
        val all = peers.daemons.map { it.operatorAddress }.distinct()
        val permits = Semaphore(CONCURRENCY)
        val done = AtomicInteger()
        val collecting = Mutex()
        val failures = progress.during({ "${done.get()} of ${all.size} daemons have answered" }) {
            coroutineScope {
                all.map { address ->
                    async {
                        permits.withPermit {
                            decoded(address, client.call(address, call), serializer)
                                .onRight { collecting.withLock { collect(it) } }
                                .also { done.incrementAndGet() }
                                .leftOrNull()?.detail
                        }
                    }
                }.awaitAll().filterNotNull()
            }
        }
        if (failures.size == all.size) {
            raise.raise(CommandFailure(ExitCode.UNREACHABLE, "no daemon answered: ${failures.joinToString("; ")}"))
        }
        return failures
    }

    private fun <T> decoded(
        address: String,
        result: CallResult,
        serializer: KSerializer<T>,
    ): Either<CommandFailure, T> = when (result) {
        is CallResult.NotSent -> unreachable(address, result.reason)
        is CallResult.NoAnswer -> unreachable(address, result.reason)
        is CallResult.Answered -> when (result.status) {
            in SUCCESS -> Either.catchOrThrow<SerializationException, T> { Answers.read(serializer, result.body) }
                .mapLeft { CommandFailure(ExitCode.UNREACHABLE, "$address: the answer is not understood") }
            UNAVAILABLE -> unreachable(address, "status ${result.status}")
            else -> CommandFailure(ExitCode.REFUSED, refusal(address, result)).left()
        }
    }

    private fun <T> unreachable(address: String, reason: String): Either<CommandFailure, T> =
        CommandFailure(ExitCode.UNREACHABLE, "$address: $reason").left()

    companion object {
        /** How many daemons are asked at once. */
        const val CONCURRENCY = 16

        private const val UNAVAILABLE = 503
        private const val SHOWN = 200
        private val SUCCESS = 200..299
        private val BLANKS = Regex("\\s+")

        /** What to tell the operator about an answer that is a refusal. */
        fun refusal(address: String, answer: CallResult.Answered): String =
            "$address refused the request with status ${answer.status}: " +
                answer.body.take(SHOWN).replace(BLANKS, " ")
    }
}
