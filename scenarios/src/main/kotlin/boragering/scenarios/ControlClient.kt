package boragering.scenarios

import boragering.adapters.HttpClients
import io.ktor.client.HttpClient
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import java.io.IOException

/** JSON of control interfaces, operator ports and documents. */
internal val scenarioJson = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
}

/** An HTTP response; [body] is text. */
data class TextResponse(val status: Int, val body: String) {
    /** Whether the status says success. */
    val isSuccess: Boolean get() = status in SUCCESS

    private companion object {
        val SUCCESS = 200..299
    }
}

/** Calls control interfaces and operator ports. A failure, also of a call that takes too long, is an [IOException]. */
class ControlClient : AutoCloseable {
    /** The client that callers share. */
    internal val http: HttpClient = HttpClients.create()

    internal suspend fun get(address: String, path: String, token: String? = null): TextResponse =
        send(HttpMethod.Get, address, path, token)

    internal suspend inline fun <reified T> read(address: String, path: String, token: String? = null): T =
        decode(get(address, path, token))

    internal suspend inline fun <reified T> put(address: String, path: String, body: T): TextResponse =
        success(send(HttpMethod.Put, address, path, null, scenarioJson.encodeToString(body)))

    internal suspend inline fun <reified T> post(
        address: String,
        path: String,
        body: T,
        token: String? = null,
    ): TextResponse = send(HttpMethod.Post, address, path, token, scenarioJson.encodeToString(body))

    internal inline fun <reified T> decode(response: TextResponse): T =
        scenarioJson.decodeFromString(success(response).body)

    internal fun success(response: TextResponse): TextResponse {
        if (!response.isSuccess) throw IOException("status ${response.status}: ${response.body}")
        return response
    }

    internal suspend fun send(
        method: HttpMethod,
        address: String,
        path: String,
        token: String?,
        body: String? = null,
    ): TextResponse = withTimeoutOrNull(callLimit) {
        val response = http.request {
            this.method = method
            url("http://$address$path")
            if (token != null) bearerAuth(token)
            if (body != null) json(body)
        }
        TextResponse(response.status.value, response.bodyAsText())
    } ?: throw IOException("${method.value} http://$address$path: no response within $callLimit")

    override fun close() = http.close()
}

/** Sets a JSON body. */
internal fun HttpRequestBuilder.json(body: String) {
    contentType(ContentType.Application.Json)
    setBody(body)
}
