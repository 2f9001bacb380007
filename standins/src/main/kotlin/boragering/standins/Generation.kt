package boragering.standins

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.update

/** The faults in effect, with the countdowns of the limited ones. */
internal class EngineFaultControl {
    private val current = MutableStateFlow(EngineFaults())

    /** The faults in effect. */
    var faults: EngineFaults by current::value

    /** Uses up one refusal; false when there is none. */
    fun takeRefusal(): Boolean = take({ refuse }) { copy(refuse = refuse - 1) }

    /** Uses up one answer with a wrong identity; false when there is none. */
    fun takeWrongIdentity(): Boolean = take({ wrongIdentity }) { copy(wrongIdentity = wrongIdentity - 1) }

    /** Uses up one broken answer; the number of tokens before the break, `null` when there is none. */
    fun takeBreak(): Int? {
        val tokens = faults.breakAfterTokens
        return tokens.takeIf { take({ breakStreams }) { copy(breakStreams = breakStreams - 1) } }
    }

    private fun take(left: EngineFaults.() -> Int, use: EngineFaults.() -> EngineFaults): Boolean {
        var taken = false
        current.update { now ->
            taken = now.left() > 0
            if (taken) now.use() else now
        }
        return taken
    }
}

/** Generates the tokens of one request at the engine's speed. */
internal class Generation(
    private val options: EngineOptions,
    private val control: EngineFaultControl,
    private val cache: PrefixCache,
    private val request: ChatRequest,
    private val run: EngineRuns.Run,
) {
    private val tokenTime = duration(options.tokenTime)
    private val hash = AnswerText.hash(request.messages)
    private val breakAfter = control.takeBreak()

    /** Number of prompt tokens, counted as one for each 4 characters. */
    val promptTokens: Int = request.messages.toString().length / CHARACTERS_PER_TOKEN

    /** Processes the prompt. */
    suspend fun prefill() {
        val cached = cache.use(request.messages.toString()) / CHARACTERS_PER_TOKEN
        val now = System.currentTimeMillis()
        run.publish { copy(started = now, promptTokens = this@Generation.promptTokens, cachedTokens = cached) }
        val promptTime = duration(options.promptTokenTime) * maxOf(promptTokens - cached, 0)
        delay((duration(options.firstTokenTime) + promptTime) * control.faults.slowFactor)
    }

    /** Passes the tokens from the requested position on to [emit]; aborts when this answer is to be broken. */
    suspend fun decode(emit: suspend (index: Int, text: String) -> Unit) {
        for (index in request.resumeFrom until request.maxTokens) {
            if (index > request.resumeFrom) delay(tokenTime * control.faults.slowFactor)
            breakWhenDue(index - request.resumeFrom)
            emit(index, AnswerText.token(hash, index))
            run.note { copy(tokens = tokens + 1) }
        }
        breakWhenDue(Int.MAX_VALUE)
    }

    private fun breakWhenDue(generated: Int) {
        if (breakAfter != null && generated >= breakAfter) {
            run.end(RunEnd.BROKEN)
            throw ConnectionAborted("fault: answer broken after $breakAfter tokens")
        }
    }

    private companion object {
        const val CHARACTERS_PER_TOKEN = 4
    }
}
