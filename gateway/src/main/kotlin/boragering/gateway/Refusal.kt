package boragering.gateway

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * An error response of the gateway itself. The statuses 408, 429 and 503 guarantee that the request was not run and
 * will not be; 502 and 504 guarantee nothing.
 *
 * @property retryAfter time after which the caller should retry; `null` if a retry would not help.
 */
internal sealed class Refusal(val status: Int, val reason: String, val retryAfter: Duration? = null) {
    /** The request cannot be parsed or lacks a required header. */
    class Malformed(reason: String) : Refusal(status = 400, reason)

    /** The key is missing or unknown. */
    class UnknownKey : Refusal(status = 401, "unknown key")

    /** No route matches. */
    class NoRoute : Refusal(status = 404, "no route")

    /** The request did not arrive in time. */
    class TooSlow : Refusal(status = 408, "the request took too long to arrive")

    /** The body exceeds the limit. */
    class BodyTooLarge : Refusal(status = 413, "the body is too large")

    /** The headers exceed the limit. */
    class HeadersTooLarge : Refusal(status = 431, "the headers are too large")

    /** The request was sent to a target, which did not answer it completely. */
    class Failed(reason: String) : Refusal(status = 502, reason)

    /** The request was not run. */
    class Unavailable(reason: String, retryAfter: Duration?) : Refusal(status = 503, reason, retryAfter)

    /** The gateway has no memory for the body of the request, which was not run. */
    class NoMemory(retryAfter: Duration) : Refusal(status = 503, "the memory for bodies is in use", retryAfter)

    /** The request was sent to a target, which did not answer it before the deadline. */
    class TimedOut(reason: String) : Refusal(status = 504, reason)

    /** Times after which callers should retry. */
    companion object {
        private val EARLIEST_RETURN = 300.milliseconds
        private val RETURN_SPREAD = 400.milliseconds

        /** A retry time with random jitter, so that callers that are refused together do not retry together. */
        fun soon(random: Random): Duration = EARLIEST_RETURN + RETURN_SPREAD * random.nextDouble()
    }
}
