package boragering.client

import arrow.core.Either
import arrow.core.raise.Raise
import boragering.core.catalogue.ApplyAnswer
import boragering.core.catalogue.ApplyRequest
import boragering.core.catalogue.ApplyResult
import boragering.core.catalogue.CatalogueWriter
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import kotlin.time.Duration.Companion.milliseconds

/**
 * Sends one change until its outcome is known or the tries are used up. The token makes it safe to send it again, also
 * to another daemon.
 */
internal class Submission(private val daemons: Daemons, private val request: ApplyRequest) {
    /** Whether an earlier call may have been carried out without an answer. */
    private var uncertain = false
    private val failures = ArrayList<String>()

    suspend fun submit(raise: Raise<CommandFailure>): ApplyAnswer {
        val call = OperatorCall("/operator/catalogue", body = Answers.text(ApplyRequest.serializer(), request))
        var answer: ApplyAnswer? = null
        var tries = 0
        while (answer == null && tries < ROUNDS * daemons.addresses.size) {
            if (tries >= daemons.addresses.size) delay(PAUSE)
            val address = daemons.addresses[tries % daemons.addresses.size]
            answer = outcome(raise, address, daemons.call(address, call))
            tries++
            // Without an unknown outcome, a second round would only repeat the same refusals.
            if (tries == daemons.addresses.size && !uncertain) break
        }
        return answer ?: exhausted()
    }

    /** The definite answer, or `null` when another daemon should be asked. */
    private fun outcome(raise: Raise<CommandFailure>, address: String, result: CallResult): ApplyAnswer? =
        when (result) {
            is CallResult.NotSent -> noted("$address: ${result.reason}")
            is CallResult.NoAnswer -> unknown("$address: ${result.reason}")
            is CallResult.Answered -> {
                val answer = read(result)
                if (answer == null) refused(raise, address, result) else definite(address, answer)
            }
        }

    private fun definite(address: String, answer: ApplyAnswer): ApplyAnswer? = when (answer.result) {
        ApplyResult.UNAVAILABLE -> noted("$address: ${answer.detail}")
        ApplyResult.UNKNOWN -> unknown("$address: ${answer.detail}")
        ApplyResult.CONFLICT -> answer.takeUnless { uncertain && isForgotten(it) } ?: unknown(FORGOTTEN)
        else -> answer
    }

    /** The earlier call would be revision base + 1; once that has left the history, a conflict proves nothing. */
    private fun isForgotten(answer: ApplyAnswer): Boolean =
        (answer.revision ?: Long.MAX_VALUE) - request.baseRevision > CatalogueWriter.HISTORY_LIMIT

    private fun refused(raise: Raise<CommandFailure>, address: String, answer: CallResult.Answered): ApplyAnswer? {
        val detail = Daemons.refusal(address, answer)
        if (answer.status < SERVER_ERROR && !uncertain) raise.raise(CommandFailure(ExitCode.REFUSED, detail))
        // A server that fails without an answer of its own may have carried the call out before.
        return if (answer.status < SERVER_ERROR) noted(detail) else unknown(detail)
    }

    private fun read(answer: CallResult.Answered): ApplyAnswer? =
        Either.catchOrThrow<SerializationException, ApplyAnswer> {
            Answers.read(ApplyAnswer.serializer(), answer.body)
        }.getOrNull()

    private fun noted(failure: String): ApplyAnswer? {
        failures += failure
        return null
    }

    private fun unknown(failure: String): ApplyAnswer? {
        uncertain = true
        return noted(failure)
    }

    private fun exhausted(): ApplyAnswer =
        ApplyAnswer(
            if (uncertain) ApplyResult.UNKNOWN else ApplyResult.UNAVAILABLE,
            detail = failures.distinct().joinToString("; "),
        )

    private companion object {
        const val ROUNDS = 4
        const val SERVER_ERROR = 500
        const val FORGOTTEN = "so many changes followed that the history no longer tells"
        val PAUSE = 500.milliseconds
    }
}
