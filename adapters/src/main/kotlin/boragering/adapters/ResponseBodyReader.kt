package boragering.adapters

import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentLength
import io.ktor.utils.io.readAvailable

/**
 * Reads a response body and checks that it is complete, by its `Content-Length` or by chunked encoding. A connection
 * that breaks is therefore never mistaken for the end of the body.
 */
internal class ResponseBodyReader(private val response: HttpResponse) {
    private val declaredLength = response.contentLength()
    private val chunked = response.headers[HttpHeaders.TransferEncoding]?.contains("chunked", true) == true
    private val hasNoBody =
        response.call.request.method == HttpMethod.Head ||
            response.status == HttpStatusCode.NoContent ||
            response.status == HttpStatusCode.NotModified
    private var bytesRead = 0L

    /** Whether the whole body was read. Valid only after [forEach] has returned. */
    val complete: Boolean
        get() = hasNoBody || chunked || declaredLength == bytesRead

    /** Calls [onChunk] with each part of the body. Throws an exception if a chunked body ends before its last chunk. */
    suspend fun forEach(onChunk: suspend (ByteArray) -> Unit) {
        if (hasNoBody) return
        val channel = response.bodyAsChannel()
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = channel.readAvailable(buffer)
            if (count < 0) {
                // A channel that was closed by a failure also reports the end of the data.
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
