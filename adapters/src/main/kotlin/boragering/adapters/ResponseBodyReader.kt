package boragering.adapters

import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentLength
import io.ktor.utils.io.readAvailable

/**
 * A response body whose end is known from its declared length or from chunked encoding, so that a broken connection is
 * never taken for the end.
 */
internal class ResponseBodyReader(private val response: HttpResponse) {
    private val declaredLength = response.contentLength()
    private val chunked = response.headers[HttpHeaders.TransferEncoding]?.contains("chunked", true) == true
    private val hasNoBody =
        response.call.request.method == HttpMethod.Head ||
            response.status == HttpStatusCode.NoContent ||
            response.status == HttpStatusCode.NotModified
    private var bytesRead = 0L

    /** Whether all of the body has been read; valid after [forEach]. */
    val complete: Boolean
        get() = hasNoBody || chunked || declaredLength == bytesRead

    /** Passes the body on in pieces. A chunked body that breaks off raises an exception. */
    suspend fun forEach(onChunk: suspend (ByteArray) -> Unit) {
        if (hasNoBody) return
        val channel = response.bodyAsChannel()
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = channel.readAvailable(buffer)
            if (count < 0) {
                // A channel that was closed by a failure reports the end of the data, too.
                channel.closedCause?.let { throw it }
                break
            }
            bytesRead += count
            onChunk(buffer.copyOf(count))
        }
    }

    private companion object {
        const val BUFFER_BYTES = 16 * 1024
    }
}
