package boragering.fleet

import kotlin.time.Duration

/**
 * How the instances of a service behave after a start.
 *
 * @property duration time for which an instance is cold, at most.
 * @property requestsPerSecond requests per second that a cold instance sustains.
 */
data class ColdStartProfile(val duration: Duration, val requestsPerSecond: Double)
