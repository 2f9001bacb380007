package boragering.adapters

import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentLength
import io.ktor.utils.io.readAvailable
import java.io.ByteArrayOutputStream

/**
 * A response body whose end is known from its declared length or from chunked encoding, so that a broken connection is
 * never taken for the end.
 */
internal class DeclaredBody(private val response: HttpResponse) {
    private val declaredLength = response.contentLength()
    private val chunked = response.headers[HttpHeaders.TransferEncoding]?.contains("chunked", true) == true
    private val withoutBody =
        response.call.request.method == HttpMethod.Head ||
            response.status == HttpStatusCode.NoContent ||
            response.status == HttpStatusCode.NotModified
    private var read = 0L

    /** Whether all of the body has been read; valid after [forEach] or [collect]. */
    val complete: Boolean
        get() = withoutBody || chunked || declaredLength == read

    /** Passes the body on in pieces. A chunked body that breaks off raises an exception. */
    suspend fun forEach(receive: suspend (ByteArray) -> Unit) {
        if (withoutBody) return
        val channel = response.bodyAsChannel()
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = channel.readAvailable(buffer)
            if (count < 0) {
                // A channel that was closed by a failure reports the end of the data, too.
                channel.closedCause?.let { throw it }
                break
            }
            read += count
            receive(buffer.copyOf(count))
        }
    }

    /** Reads the whole body of at most [maximumBytes]. */
    suspend fun collect(maximumBytes: Int): ByteArray {
        val output = ByteArrayOutputStream()
        forEach {
            check(output.size() + it.size <= maximumBytes) { "the answer is over $maximumBytes bytes" }
            output.write(it)
        }
        return output.toByteArray()
    }

    private companion object {
        const val BUFFER_BYTES = 16 * 1024
    }
}
