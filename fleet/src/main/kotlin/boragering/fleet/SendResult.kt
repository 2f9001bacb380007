package boragering.fleet

/** The result of an attempt to send a waiting request. */
enum class SendResult {
    /** The request was sent. */
    SENT,

    /** All targets are full. */
    FULL,

    /** The request cannot be sent and has ended. */
    ENDED,
}
