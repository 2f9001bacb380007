package boragering.adapters

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import boragering.core.groups.ListedInstance
import boragering.core.groups.LiveList
import boragering.core.groups.LiveListFailure
import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlin.time.Duration.Companion.seconds

/** Reads the platform's list of instances with `GET <baseUrl>/instances`. */
class HttpLiveList(private val client: HttpClient, private val baseUrl: String) : LiveList {
    private val json = Json { ignoreUnknownKeys = true }

    // The HTTP libraries throw many exception types; each becomes a LiveListFailure.
    @Suppress("TooGenericExceptionCaught")
    override suspend fun read(): Either<LiveListFailure, PersistentList<ListedInstance>> =
        try {
            val list =
                withTimeoutOrNull(REQUEST_TIMEOUT) {
                    val response = client.get("$baseUrl/instances")
                    check(response.status.isSuccess()) { "the live list: status ${response.status.value}" }
                    json.decodeFromString<InstanceList>(response.bodyAsText()).instances.toPersistentList()
                }
            list?.right() ?: LiveListFailure("the live list: no response within $REQUEST_TIMEOUT").left()
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            LiveListFailure(failure.message ?: failure.toString()).left()
        }

    @Serializable
    private data class InstanceList(val instances: List<ListedInstance>)

    private companion object {
        val REQUEST_TIMEOUT = 2.seconds
    }
}
