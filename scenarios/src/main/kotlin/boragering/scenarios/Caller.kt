package boragering.scenarios

import io.ktor.client.HttpClient
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import io.ktor.http.isSuccess
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** One organisation's caller at one daemon. Every call and its outcome are kept for the checks. */
class Caller internal constructor(
    private val http: HttpClient,
    private val daemon: String,
    private val token: String,
    private val history: CallHistory,
    private val limit: Duration = callTime,
) {
    /** Asks for a completion; [progress] is called with each part of a streamed text. */
    suspend fun complete(call: ChatCall, progress: suspend (String) -> Unit = {}): CallOutcome =
        record(call, "/v1/chat/completions", HttpMethod.Post, body(call)) { response, reader ->
            if (call.stream) reader.stream(response, progress) else reader.document(response)
        }

    /** Sends a request to a plain service. */
    suspend fun send(call: ServiceCall): CallOutcome =
        record(call, "/services/${call.entry}${call.path}", HttpMethod.parse(call.method), call.body) { response, _ ->
            CallOutcome.Complete(response.identity, response.status.value, response.bodyAsText())
        }

    private suspend fun record(
        call: Call,
        path: String,
        method: HttpMethod,
        body: String,
        read: suspend (HttpResponse, CompletionReader) -> CallOutcome,
    ): CallOutcome {
        val started = System.currentTimeMillis()
        val reader = CompletionReader()
        var identity: String? = null
        val outcome = try {
            withTimeoutOrNull(limit) {
                http.prepareRequest { describe(method, path, body, call.idempotencyKey) }.execute { response ->
                    identity = response.identity
                    if (response.status.isSuccess()) read(response, reader) else refused(response)
                }
            } ?: CallOutcome.Broken(identity, reader.text, "no end within $limit")
        } catch (broken: IOException) {
            CallOutcome.Broken(identity, reader.text, "$broken")
        }
        history.add(CallRecord(call, outcome, started, System.currentTimeMillis()))
        return outcome
    }

    private fun HttpRequestBuilder.describe(method: HttpMethod, path: String, body: String, key: String?) {
        this.method = method
        url("http://$daemon$path")
        bearerAuth(token)
        if (key != null) header("Idempotency-Key", key)
        if (method != HttpMethod.Get) json(body)
    }

    private suspend fun refused(response: HttpResponse): CallOutcome {
        val body = response.bodyAsText()
        val problem = try {
            scenarioJson.decodeFromString<ProblemDocument>(body)
        } catch (_: IllegalArgumentException) {
            null
        }
        return CallOutcome.Refused(response.identity, response.status.value, problem, response.headers["Retry-After"])
    }

    private fun body(call: ChatCall): String = buildJsonObject {
        put("model", call.entry)
        put("messages", call.messages)
        put("max_tokens", call.maxTokens)
        put("stream", call.stream)
    }.toString()

    private companion object {
        /** Longer than any deadline of a scenario's entry, so that a call without an end is seen as broken. */
        val callTime = 5.minutes
    }
}

/** The messages of a completion that asks [text]. */
fun userMessage(text: String) = buildJsonArray {
    addJsonObject {
        put("role", "user")
        put("content", text)
    }
}

private val HttpResponse.identity: String? get() = headers["X-Request-Id"]
