package boragering.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides which requests a gateway still takes while it drains. Callers send requests until their load balancer has
 * redirected them; later ones are taken only if they end before the gateway does, because what is in progress then is
 * cut. Times are those of the monotonic clock.
 *
 * @property endsAt when the gateway stops to serve.
 */
internal class GatewayDrain(private val startedAt: Duration, val endsAt: Duration) {
    /** Whether a request with [deadline] that arrives at [now] is taken. */
    fun admits(deadline: Duration, now: Duration): Boolean = now - startedAt < ADMISSION_TIME || deadline <= endsAt

    private companion object {
        /** Time in which callers are redirected to other gateways. */
        val ADMISSION_TIME = 3.seconds
    }
}
