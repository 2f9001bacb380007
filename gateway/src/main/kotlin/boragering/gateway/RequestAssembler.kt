package boragering.gateway

import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent

/** The result of adding a part of a request. */
internal sealed interface AssemblyResult {
    /** More parts follow. */
    data object Incomplete : AssemblyResult

    /** No more parts should be read until there is memory for them. */
    data object Waiting : AssemblyResult

    /** There is no memory for the request, and none to wait for. */
    data object Refused : AssemblyResult

    /** The request is complete. */
    class Complete(val request: ReceivedRequest) : AssemblyResult

    /** The body exceeds the limit. */
    data object TooLarge : AssemblyResult
}

/**
 * Assembles requests from their parts, one request at a time, within [budget]. [onGranted] is called when there is
 * memory after [AssemblyResult.Waiting]; the request then continues with [resume]. Not thread safe.
 */
internal class RequestAssembler(private val budget: MemoryBudget, private val onGranted: () -> Unit) {
    private var partial: PartialRequest? = null

    /** The headers of the request that is being assembled; empty if there is none. */
    val headers: HttpHeaders get() = partial?.head?.headers() ?: EmptyHttpHeaders.INSTANCE

    /** Begins [request], whose body may have [limit] bytes at most. */
    fun begin(request: HttpRequest, limit: Int): AssemblyResult {
        discard()
        val declared = HttpUtil.getContentLength(request, 0L)
        val begun = PartialRequest(request, limit, BodyBuffer(minOf(declared, limit.toLong()).toInt()))
        partial = begun
        return if (declared > limit) AssemblyResult.TooLarge else result(begun, begun.memory.grow(declared))
    }

    /** Adds [content] to the body. */
    fun add(content: HttpContent): AssemblyResult {
        val current = partial
        val bytes = content.content()
        return when {
            current == null -> AssemblyResult.Incomplete
            current.body.size + bytes.readableBytes() > current.limit -> AssemblyResult.TooLarge
            else -> {
                if (bytes.isReadable) current.body.add(bytes)
                current.complete = content is LastHttpContent
                result(current, current.memory.grow(roundUp(current.body.size)))
            }
        }
    }

    /** Continues after memory was granted. */
    fun resume(): AssemblyResult = partial?.let { result(it, MemoryGrant.GRANTED) } ?: AssemblyResult.Incomplete

    /** Drops the request that is being assembled. */
    fun discard() {
        partial?.memory?.release()
        partial = null
    }

    private fun result(current: PartialRequest, grant: MemoryGrant): AssemblyResult = when (grant) {
        MemoryGrant.WAITING -> AssemblyResult.Waiting
        MemoryGrant.REFUSED -> AssemblyResult.Refused
        MemoryGrant.GRANTED -> if (current.complete) complete(current) else AssemblyResult.Incomplete
    }

    private fun complete(current: PartialRequest): AssemblyResult {
        partial = null
        val head = current.head
        val body = current.body.toBytes()
        val keepAlive = HttpUtil.isKeepAlive(head)
        return AssemblyResult.Complete(
            ReceivedRequest(head.method(), head.uri(), head.headers(), body, keepAlive, current.memory),
        )
    }

    private fun roundUp(bytes: Int): Long = if (bytes == 0) 0L else (bytes / GROWTH_BYTES + 1L) * GROWTH_BYTES

    private inner class PartialRequest(val head: HttpRequest, val limit: Int, val body: BodyBuffer) {
        val memory = budget.share(MemoryUse.REQUEST, onGranted)
        var complete = false
    }

    private companion object {
        /** Step in which a body without a declared length takes memory, in bytes. */
        const val GROWTH_BYTES = 16 shl 10
    }
}
