package boragering.gateway

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * An answer of the gateway itself. Statuses 408, 429 and 503 state that the request was not run and will not be; 502
 * and 504 state nothing.
 *
 * @property retryAfter when the caller should try again; `null` when that would not help.
 */
internal sealed class Refusal(val status: Int, val reason: String, val retryAfter: Duration? = null) {
    /** The request cannot be understood. */
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

    /** The request was sent to a target and has no answer. */
    class Failed(reason: String) : Refusal(status = 502, reason)

    /** The request was not run. */
    class Unavailable(reason: String, retryAfter: Duration?) : Refusal(status = 503, reason, retryAfter)

    /** The request was sent to a target and has no answer in time. */
    class TimedOut(reason: String) : Refusal(status = 504, reason)

    /** Times after which callers should come back. */
    companion object {
        private val EARLIEST_RETURN = 300.milliseconds
        private val RETURN_SPREAD = 400.milliseconds

        /** A time to come back that differs from caller to caller, so that those refused together do not return so. */
        fun soon(random: Random): Duration = EARLIEST_RETURN + RETURN_SPREAD * random.nextDouble()
    }
}
