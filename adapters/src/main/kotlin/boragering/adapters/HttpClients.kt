package boragering.adapters

import io.ktor.client.HttpClient
import io.ktor.client.engine.java.Java
import java.net.ConnectException
import java.net.http.HttpClient.Redirect
import java.net.http.HttpClient.Version
import java.net.http.HttpConnectTimeoutException
import java.nio.channels.UnresolvedAddressException
import java.time.Duration

/** Creates the HTTP clients that the adapters use. */
object HttpClients {
    private val CONNECT_TIMEOUT = Duration.ofSeconds(1)

    /**
     * Creates a client that opens a new connection for each request and never retries a request. If it reused a
     * connection that the server had closed, it could not tell whether the request had been sent.
     *
     * It uses the HTTP client of the Java platform, because the engine of Ktor 3.5.2 treats a truncated chunked body as
     * complete.
     */
    fun create(): HttpClient {
        System.setProperty("jdk.httpclient.keepalive.timeout", "0")
        return HttpClient(Java) {
            expectSuccess = false
            followRedirects = false
            engine {
                protocolVersion = Version.HTTP_1_1
                config {
                    connectTimeout(CONNECT_TIMEOUT)
                    followRedirects(Redirect.NEVER)
                }
            }
        }
    }
}

/** Whether [failure] or one of its causes shows that no connection was made, so no byte of the request was sent. */
internal fun isConnectFailure(failure: Throwable): Boolean =
    generateSequence(failure) { it.cause }.any {
        it is ConnectException || it is UnresolvedAddressException || it is HttpConnectTimeoutException
    }
