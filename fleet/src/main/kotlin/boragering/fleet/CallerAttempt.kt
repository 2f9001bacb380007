package boragering.fleet

import kotlin.time.Duration

/** What the time that a caller has left tells of its earlier attempts. */
sealed interface CallerAttempt {
    /** Time since the caller's first attempt. */
    val elapsed: Duration

    /** The caller has not tried before. */
    data object First : CallerAttempt {
        override val elapsed: Duration get() = Duration.ZERO
    }

    /** The caller has repeated its request sooner than any gateway can have told it to. */
    data class Premature(override val elapsed: Duration) : CallerAttempt

    /** The caller may have come back when it was told to. */
    data class Returned(override val elapsed: Duration) : CallerAttempt
}
