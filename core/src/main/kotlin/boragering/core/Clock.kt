package boragering.core

import kotlin.time.Duration

/** Port to the wall clock and the monotonic clock of the host. */
interface Clock {
    /** Wall-clock time in milliseconds since the Unix epoch; it can jump in either direction. */
    fun wallMilliseconds(): Long

    /**
     * Time since an arbitrary fixed point. This clock never goes backwards and keeps running while the process is
     * paused, so that a resumed process can tell how old its information is.
     */
    fun monotonic(): Duration
}
