package boragering.adapters

import io.ktor.client.HttpClient
import io.ktor.client.engine.apache5.Apache5
import io.ktor.client.network.sockets.ConnectTimeoutException
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManagerBuilder
import org.apache.hc.core5.http.ConnectionReuseStrategy
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException

/** Creates the HTTP clients that the adapters use. */
object HttpClients {
    private const val CONNECT_TIMEOUT_MILLISECONDS = 1_000L
    private const val MAXIMUM_CONNECTIONS = 10_000

    /**
     * A client that opens one connection for each request and never repeats a request by itself. A kept connection that
     * the other side has closed would leave it open whether a request was sent.
     *
     * The engine is Apache's because Ktor's own engine takes a chunked body that breaks off for a complete one (seen in
     * version 3.5.2).
     */
    fun create(): HttpClient =
        HttpClient(Apache5) {
            expectSuccess = false
            followRedirects = false
            engine {
                followRedirects = false
                connectTimeout = CONNECT_TIMEOUT_MILLISECONDS
                connectionRequestTimeout = CONNECT_TIMEOUT_MILLISECONDS
                socketTimeout = 0
                customizeClient {
                    setConnectionManager(
                        PoolingAsyncClientConnectionManagerBuilder
                            .create()
                            .setMaxConnTotal(MAXIMUM_CONNECTIONS)
                            .setMaxConnPerRoute(MAXIMUM_CONNECTIONS)
                            .build(),
                    )
                    setConnectionReuseStrategy(ConnectionReuseStrategy { _, _, _ -> false })
                    disableAutomaticRetries()
                    disableCookieManagement()
                }
            }
        }
}

/** Whether [failure] means that no connection was made, so that no byte of the request was sent. */
internal fun isConnectFailure(failure: Throwable): Boolean =
    generateSequence(failure) { it.cause }.any {
        it is ConnectException || it is UnresolvedAddressException || it is ConnectTimeoutException
    }
