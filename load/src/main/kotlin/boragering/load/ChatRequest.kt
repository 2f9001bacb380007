package boragering.load

import boragering.adapters.HttpClients
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.readLine
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.TimeMark

/**
 * One measured request. Times are counted from the intended start; [firstToken] is `null` without a token. [direct]
 * requests did not pass a daemon. [refusal] is the explanation in a refused request's problem, without its numbers.
 */
data class Sample(
    val arrival: Arrival,
    val firstToken: Duration?,
    val end: Duration,
    val status: Int,
    val complete: Boolean,
    val direct: Boolean = false,
    val refusal: String? = null,
)

/** Where a completion is sent and what it says. */
internal class ChatRequest(val address: String, val body: String, val headers: Map<String, String>, val token: String?)

/** Sends completions over one client. */
internal class ChatClient : AutoCloseable {
    private val http = HttpClients.create()

    /** Sends [request] and reads the answer to its end; [intended] is the time that the schedule states. */
    suspend fun send(arrival: Arrival, request: ChatRequest, intended: TimeMark): Sample {
        var firstToken: Duration? = null
        var status = 0
        var complete = false
        var refusal: String? = null
        try {
            val call = http.preparePost("http://${request.address}/v1/chat/completions") {
                request.token?.let(::bearerAuth)
                request.headers.forEach { (name, value) -> header(name, value) }
                contentType(ContentType.Application.Json)
                setBody(request.body)
            }
            call.execute { response ->
                status = response.status.value
                if (response.status.isSuccess()) {
                    complete = read(response) { firstToken = intended.elapsedNow() }
                } else {
                    refusal = explanation(response.bodyAsText())
                }
            }
        } catch (_: IOException) {
            complete = false
        }
        return Sample(arrival, firstToken, intended.elapsedNow(), status, complete, refusal = refusal)
    }

    private fun explanation(problem: String): String =
        DETAIL.find(problem)?.groupValues?.get(1)?.replace(NUMBER, "N") ?: "no explanation"

    /** Whether the end marker came; [first] is called at the first data line. */
    private suspend fun read(response: HttpResponse, first: () -> Unit): Boolean {
        val lines = response.bodyAsChannel()
        var done = false
        var seen = false
        var line = lines.readLine()
        while (line != null) {
            if (line.startsWith(DATA) && !seen) {
                seen = true
                first()
            }
            if (line == END) done = true
            line = lines.readLine()
        }
        return done
    }

    override fun close() = http.close()

    private companion object {
        const val DATA = "data: "
        const val END = "data: [DONE]"
        val DETAIL = Regex("\"detail\":\"([^\"]*)\"")
        val NUMBER = Regex("[0-9]+(\\.[0-9]+)?(ms|us|s)?")
    }
}
