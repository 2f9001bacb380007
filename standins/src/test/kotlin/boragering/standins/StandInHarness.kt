package boragering.standins

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlin.time.Duration.Companion.seconds

/** Limit of every wait of these tests; a passing test needs a small part of it. */
internal val waitLimit = 20.seconds

/** Runs stand-ins on loopback ports and calls them. */
internal class StandInHarness : AutoCloseable {
    val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
    val selector = SelectorManager(Dispatchers.IO)
    val client = HttpClient(CIO)

    /** Starts a stand-in and returns its `host:port`. */
    suspend fun start(handler: RequestHandler): String =
        "$LOOPBACK:${HttpListener.start(scope, selector, 0, handler).port}"

    suspend inline fun <reified T> put(address: String, path: String, body: T): String =
        client.put("http://$address$path") { setBody(standInJson.encodeToString(body)) }.bodyAsText()

    suspend inline fun <reified T> post(
        address: String,
        path: String,
        body: T,
        crossinline headers: HttpRequestBuilder.() -> Unit = {},
    ): HttpResponse = client.post("http://$address$path") {
        headers()
        setBody(standInJson.encodeToString(body))
    }

    suspend inline fun <reified T> read(address: String, path: String): T =
        standInJson.decodeFromString(client.get("http://$address$path").bodyAsText())

    override fun close() {
        client.close()
        scope.cancel()
        selector.close()
    }
}

/** Runs [action] with a new harness. */
internal suspend fun <T> withStandIns(action: suspend StandInHarness.() -> T): T = StandInHarness().use { it.action() }
