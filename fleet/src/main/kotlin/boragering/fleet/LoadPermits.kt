package boragering.fleet

import kotlin.time.Duration

/** Grants permits for the weight loads that one planning step starts at [now]. Not thread-safe. */
internal class LoadPermits(
    private val rateLimiter: LoadRateLimiter,
    private val formations: FormationRegistry,
    private val spares: SparePreparation,
    private val state: PoolState,
    private val now: Duration,
) {
    /** Acquires a permit for one load. An [urgent] one completes a group. */
    fun tryAcquire(urgent: Boolean = false): Boolean = rateLimiter.tryAcquire(now, loading(), state.engine, urgent)

    /** Whether [addressed] may be sent. If the order starts a weight load, this acquires a permit for the load. */
    fun allow(addressed: AddressedOrder): Boolean {
        val model = (addressed.order as? Order.Join)?.model ?: return true
        val needsNoPermit = addressed.instance.holds(model) || spares.staging[addressed.instance.start] == model
        return needsNoPermit || tryAcquire()
    }

    private fun loading(): Int = formations.loading(state) + spares.loading(state)
}
