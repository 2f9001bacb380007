package boragering.gateway

/** Where an exchange writes its answer. Exactly one of [sendComplete], [refuse], [endStream] and [abort] ends it. */
internal interface CallerResponse {
    /** Whether the caller reads as fast as the answer is written. */
    val writable: Boolean

    /** Passes on a target's complete answer. */
    fun sendComplete(head: ResponseHead, body: ByteArray)

    /** Answers in the gateway's own name. */
    fun refuse(refusal: Refusal)

    /** Begins a stream with the headers of a target's answer. */
    fun beginStream(head: ResponseHead)

    /** Passes on bytes of a stream. */
    fun writeEvent(bytes: ByteArray)

    /** Ends a stream as complete. */
    fun endStream()

    /** Breaks a stream off so that it does not look complete. */
    fun abort()
}
