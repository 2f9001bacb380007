package boragering.core

import kotlin.time.Duration

/** Port to the machine's clocks. */
interface Clock {
    /** Wall-clock time in milliseconds since the Unix epoch; it can jump in either direction. */
    fun wallMilliseconds(): Long

    /**
     * Time since an arbitrary fixed point; it never goes backwards and continues while the process is paused, so that
     * a resumed process sees how old its knowledge is.
     */
    fun monotonic(): Duration
}
