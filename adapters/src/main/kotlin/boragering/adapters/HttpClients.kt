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
     * A client that opens one connection for each request and never repeats a request by itself. A kept connection that
     * the other side has closed would leave it open whether a request was sent.
     *
     * The engine is the Java platform's because Ktor's own engine takes a chunked body that breaks off for a complete
     * one (version 3.5.2).
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

/** Whether [failure] means that no connection was made, so that no byte of the request was sent. */
internal fun isConnectFailure(failure: Throwable): Boolean =
    generateSequence(failure) { it.cause }.any {
        it is ConnectException || it is UnresolvedAddressException || it is HttpConnectTimeoutException
    }
