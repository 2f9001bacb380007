package boragering.standins

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.json.Json

/** The JSON format of all stand-ins: fields with default values are omitted, as etcd's gateway omits them. */
internal val standInJson = Json {
    ignoreUnknownKeys = true
    isLenient = true
}

/** Ends an exchange by closing its connection without the rest of the response. */
internal class ConnectionAborted(reason: String) : CancellationException(reason)

/** What a caller sent; [path] has no query. */
internal data class ReceivedRequest(
    val method: String,
    val path: String,
    val query: Map<String, String>,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
) {
    /** The body as UTF-8 text. */
    val text: String get() = body.decodeToString()

    /** The first header called [name], in any case. */
    fun header(name: String): String? = headers.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second
}

/** One HTTP request and the means to respond to it. */
internal class Exchange(
    val request: ReceivedRequest,
    private val output: ByteWriteChannel,
    private val clientClosed: () -> Boolean,
) {
    /** Whether the client has closed the connection. */
    val clientGone: Boolean get() = clientClosed()

    /** Sends a complete response. */
    suspend fun respond(
        status: HttpStatusCode,
        body: String = "",
        contentType: ContentType = ContentType.Application.Json,
        headers: List<Pair<String, String>> = emptyList(),
    ) {
        val bytes = body.encodeToByteArray()
        val head = head(status, headers + ("Content-Type" to "$contentType") + ("Content-Length" to "${bytes.size}"))
        output.writeStringUtf8(head + body)
        output.flush()
    }

    /** Sends a chunked response; it is complete when [write] returns, and truncated when it throws. */
    suspend fun stream(
        contentType: ContentType,
        headers: List<Pair<String, String>> = emptyList(),
        write: suspend (send: suspend (String) -> Unit) -> Unit,
    ) {
        val framing = listOf("Content-Type" to "$contentType", "Transfer-Encoding" to "chunked")
        output.writeStringUtf8(head(HttpStatusCode.OK, headers + framing))
        output.flush()
        write { text ->
            if (clientGone) throw ConnectionAborted("the client closed the connection")
            val size = text.encodeToByteArray().size.toString(HEXADECIMAL)
            output.writeStringUtf8("$size\r\n$text\r\n")
            output.flush()
        }
        output.writeStringUtf8("0\r\n\r\n")
        output.flush()
    }

    /** Closes the connection; nothing more is sent. */
    fun abort(reason: String): Nothing = throw ConnectionAborted(reason)

    private fun head(status: HttpStatusCode, headers: List<Pair<String, String>>): String =
        headers.joinToString("", "HTTP/1.1 ${status.value} ${status.description}\r\n", "\r\n") { (name, value) ->
            "$name: $value\r\n"
        }

    private companion object {
        const val HEXADECIMAL = 16
    }
}

/** Sends [value] as JSON. */
internal suspend inline fun <reified T> Exchange.respondJson(value: T, status: HttpStatusCode = HttpStatusCode.OK) =
    respond(status, standInJson.encodeToString(value))

/** Reads the request's body as JSON; an empty body counts as an empty object. */
internal inline fun <reified T> Exchange.receive(): T = standInJson.decodeFromString(request.text.ifBlank { "{}" })
