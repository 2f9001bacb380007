package boragering.fleet

import kotlin.time.Duration

/** Permits loads of weights to what a planner does at [now]. Not safe for use by several threads. */
internal class LoadPermits(
    private val rateLimiter: LoadRateLimiter,
    private val formations: FormationRegistry,
    private val spares: SparePreparation,
    private val state: PoolState,
    private val now: Duration,
) {
    /** Takes the permission for a load that a group or a spare instance waits for. */
    fun tryAcquire(urgent: Boolean = false): Boolean = rateLimiter.tryAcquire(now, loading(), state.engine, urgent)

    /** Takes the permission for a load that only adds to a reserve; it leaves half of the loads to others. */
    fun tryAcquireForReserve(): Boolean = rateLimiter.tryAcquire(now, loading() * 2, state.engine)

    /** Whether [addressed] may be sent; takes the permission for the load that it begins, if it begins one. */
    fun allow(addressed: AddressedOrder): Boolean {
        val model = (addressed.order as? Order.Join)?.model ?: return true
        val needsNoPermit = addressed.instance.holds(model) || spares.staging[addressed.instance.start] == model
        return needsNoPermit || tryAcquire()
    }

    private fun loading(): Int = formations.loading(state) + spares.loading(state)
}
