package boragering.standins

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode

/** Writes one generated answer to its caller, as a stream of events or as one document. */
internal class ChatAnswer(
    private val exchange: Exchange,
    private val request: ChatRequest,
    private val identity: String,
    private val wrongIdentity: String?,
) {
    private val created = System.currentTimeMillis() / MILLISECONDS_PER_SECOND

    /** Sends the tokens that [generation] produces. */
    suspend fun send(generation: Generation) {
        if (request.stream) stream(generation) else document(generation)
    }

    private suspend fun stream(generation: Generation) {
        exchange.stream(ContentType.Text.EventStream, listOf("Cache-Control" to "no-cache")) { send ->
            generation.decode { index, text ->
                if (index == request.resumeFrom && wrongIdentity != null) send(chunk(wrongIdentity, FOREIGN_TEXT, null))
                send(chunk(identity, text, null))
            }
            send(chunk(identity, null, FINISH_REASON))
            send("data: [DONE]\n\n")
        }
    }

    private fun chunk(id: String, text: String?, finishReason: String?): String {
        val choice = ChatChoice(0, delta = ChatText(text), finishReason = finishReason)
        val chunk = ChatCompletion(id, "chat.completion.chunk", created, request.model, listOf(choice))
        return "data: ${standInJson.encodeToString(chunk)}\n\n"
    }

    private suspend fun document(generation: Generation) {
        val text = StringBuilder()
        var tokens = 0
        generation.decode { _, token ->
            text.append(token)
            tokens++
        }
        val choice = ChatChoice(0, message = ChatText("$text", "assistant"), finishReason = FINISH_REASON)
        val usage = ChatUsage(generation.promptTokens, tokens, generation.promptTokens + tokens)
        val id = wrongIdentity ?: identity
        val completion = ChatCompletion(id, "chat.completion", created, request.model, listOf(choice), usage)
        exchange.respond(HttpStatusCode.OK, standInJson.encodeToString(completion))
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1000
        const val FOREIGN_TEXT = "foreign"
        const val FINISH_REASON = "length"
    }
}
