package boragering.gateway

/** The response to a caller. Exactly one call of [sendComplete], [refuse], [endStream] or [abort] ends it. */
internal interface CallerResponse {
    /** The events of a stream, which are added after [beginStream]. */
    val events: StreamWriter

    /** Sends a target's complete response, and returns the memory of [body] when it has been written. */
    fun sendComplete(head: ResponseHead, body: ResponseBody)

    /** Sends an error response of the gateway itself. */
    fun refuse(refusal: Refusal)

    /** Begins a stream with the headers of a target's response. */
    fun beginStream(head: ResponseHead)

    /** Ends a stream as complete. */
    fun endStream()

    /** Closes the connection, so that the caller can tell that the stream is incomplete. */
    fun abort()
}
