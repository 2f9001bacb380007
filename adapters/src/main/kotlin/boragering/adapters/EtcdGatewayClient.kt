package boragering.adapters

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import boragering.core.StoreFailure
import boragering.core.StoredValue
import io.ktor.client.HttpClient
import io.ktor.client.request.post
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.readLine
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlin.time.Duration

/**
 * Calls the JSON gateway of the key-value service (etcd v3). Each call except [watch] is bounded by [timeout]. A
 * failure is [StoreFailure.NotApplied] if no connection was made, and [StoreFailure.Uncertain] otherwise.
 */
internal class EtcdGatewayClient(
    private val client: HttpClient,
    private val baseUrl: String,
    private val timeout: Duration,
) {
    private val json =
        Json {
            ignoreUnknownKeys = true
            // Defaults are sent because the gateway has others: a comparison without a target compares the version.
            encodeDefaults = true
            explicitNulls = false
        }

    /** Posts [request] as JSON to [path] and decodes the response. */
    suspend inline fun <reified Q, reified A> post(path: String, request: Q): Either<StoreFailure, A> =
        exchange(path, json.encodeToString(request)).flatMap { decode(path) { json.decodeFromString<A>(it) } }

    /** Reads the key-value pairs that [request] selects. */
    suspend fun range(request: RangeRequest): Either<StoreFailure, PersistentList<StoredValue>> =
        post<RangeRequest, RangeResponse>("/v3/kv/range", request)
            .map { response -> response.values.map { it.toStoredValue() }.toPersistentList() }

    /** Waits up to [limit] for the first values that a watch reports. Returns an empty list if there were none. */
    suspend fun watch(request: WatchRequest, limit: Duration): Either<StoreFailure, PersistentList<StoredValue>> =
        catchFailures {
            val changes =
                withTimeoutOrNull(limit) {
                    client
                        .preparePost("$baseUrl/v3/watch") {
                            contentType(ContentType.Application.Json)
                            setBody(json.encodeToString(request))
                        }.execute { response ->
                            val channel = response.bodyAsChannel()
                            readFirstPuts { channel.readLine() }
                        }
                }
            changes ?: persistentListOf()
        }

    /** Reads the lines of a watch until one has put events, and returns their values. Delete events are skipped. */
    private suspend fun readFirstPuts(readLine: suspend () -> String?): PersistentList<StoredValue> {
        while (true) {
            val line = readLine() ?: error("the key-value service closed the watch")
            val response = json.decodeFromString<WatchStreamResponse>(line).result
            check(response?.canceled != true) { "the key-value service cancelled the watch" }
            val puts = response?.events.orEmpty().filter { it.type != "DELETE" }
            if (puts.isNotEmpty()) return puts.map { it.value.toStoredValue() }.toPersistentList()
        }
    }

    private fun <A> decode(path: String, parse: () -> A): Either<StoreFailure, A> =
        try {
            parse().right()
        } catch (malformed: SerializationException) {
            StoreFailure.Uncertain("$path: malformed response: ${malformed.message}").left()
        }

    private suspend fun exchange(path: String, body: String): Either<StoreFailure, String> =
        catchFailures {
            withTimeoutOrNull(timeout) {
                val response =
                    client.post("$baseUrl$path") {
                        contentType(ContentType.Application.Json)
                        setBody(body)
                    }
                val text = response.bodyAsText()
                check(response.status.isSuccess()) {
                    "$path responded with status ${response.status.value}: ${text.take(MAXIMUM_LOGGED_CHARACTERS)}"
                }
                text
            }
        }.flatMap { it?.right() ?: StoreFailure.Uncertain("$path: no response within $timeout").left() }

    // The HTTP libraries throw many exception types; each becomes a StoreFailure.
    @Suppress("TooGenericExceptionCaught")
    private suspend fun <A> catchFailures(block: suspend () -> A): Either<StoreFailure, A> =
        try {
            block().right()
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            val reason = failure.message ?: failure.toString()
            if (isConnectFailure(failure)) {
                StoreFailure.NotApplied(reason).left()
            } else {
                StoreFailure.Uncertain(reason).left()
            }
        }

    private companion object {
        /** Number of characters of an error response that the failure reason includes. */
        const val MAXIMUM_LOGGED_CHARACTERS = 200
    }
}
