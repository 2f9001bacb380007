package boragering.client

import boragering.adapters.HttpClients
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.parameter
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import java.io.IOException
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException
import kotlin.time.Duration

/** One call of the operators' interface; it is a POST when it has a [body]. */
internal data class OperatorCall(
    val path: String,
    val query: Map<String, String> = emptyMap(),
    val body: String? = null,
)

/** What became of a call. */
internal sealed interface CallResult {
    /** The daemon answered. */
    data class Answered(val status: Int, val body: String) : CallResult

    /** No connection was made, so that the daemon did not see the call. */
    data class NotSent(val reason: String) : CallResult

    /** The daemon may have seen the call. */
    data class NoAnswer(val reason: String) : CallResult
}

/** Calls daemons' operator ports; every call ends within [timeout]. */
internal class OperatorClient(private val token: String, timeout: Duration) : AutoCloseable {
    private val http = HttpClients.create().config {
        install(HttpTimeout) { requestTimeoutMillis = timeout.inWholeMilliseconds }
    }

    suspend fun call(address: String, call: OperatorCall): CallResult =
        try {
            val response = http.request { describe(address, call) }
            CallResult.Answered(response.status.value, response.bodyAsText())
        } catch (exception: ConnectException) {
            CallResult.NotSent(reason(exception))
        } catch (exception: UnresolvedAddressException) {
            CallResult.NotSent(reason(exception))
        } catch (exception: IOException) {
            CallResult.NoAnswer(reason(exception))
        }

    override fun close() = http.close()

    private fun HttpRequestBuilder.describe(address: String, call: OperatorCall) {
        url("http://$address${call.path}")
        call.query.forEach { (name, value) -> parameter(name, value) }
        header(HttpHeaders.Authorization, "Bearer $token")
        call.body?.let {
            method = HttpMethod.Post
            contentType(ContentType.Application.Json)
            setBody(it)
        }
    }

    private fun reason(exception: Exception): String =
        listOfNotNull(exception.javaClass.simpleName, exception.message).joinToString(": ")
}
