package boragering.scenarios

import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.utils.io.readLine
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** Reads one chat completion; [text] is what has arrived, also after a failure. */
internal class CompletionReader {
    private val content = StringBuilder()
    private val identities = linkedSetOf<String>()
    private var error: String? = null

    val text: String get() = "$content"

    /** Reads server-sent events up to the end of the connection. */
    suspend fun stream(response: HttpResponse, progress: suspend (String) -> Unit): CallOutcome {
        val request = response.headers["X-Request-Id"]
        val lines = response.bodyAsChannel()
        var done = false
        var line = lines.readLine()
        while (line != null) {
            if (line.startsWith("event: error")) error = line
            val data = line.removePrefix(DATA).takeIf { line.startsWith(DATA) }
            if (data == END) done = true
            if (data != null && data != END) progress(chunk(data))
            line = lines.readLine()
        }
        val complete = CallOutcome.Complete(request, response.status.value, text, identities)
        return if (done && error == null) complete else CallOutcome.Broken(request, text, error ?: "no end marker")
    }

    /** Reads a completion that is one document. */
    suspend fun document(response: HttpResponse): CallOutcome {
        chunk(response.bodyAsText())
        val request = response.headers["X-Request-Id"]
        return CallOutcome.Complete(request, response.status.value, text, identities)
    }

    private fun chunk(data: String): String {
        val completion = scenarioJson.decodeFromString<Completion>(data)
        if (completion.isError) error = data
        completion.id?.let(identities::add)
        val part = completion.choices.joinToString("") { (it.delta ?: it.message)?.content.orEmpty() }
        content.append(part)
        return part
    }

    @Serializable
    private data class Completion(
        val id: String? = null,
        val choices: List<Choice> = emptyList(),
        val outcome: String? = null,
        val error: JsonElement? = null,
    ) {
        /** An error event carries a problem document, or an error object as the completions interface has it. */
        val isError: Boolean get() = outcome != null || error != null
    }

    @Serializable
    private data class Choice(val delta: Message? = null, val message: Message? = null)

    @Serializable
    private data class Message(val content: String? = null)

    private companion object {
        const val DATA = "data: "
        const val END = "[DONE]"
    }
}
