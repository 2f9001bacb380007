package boragering.gateway

import boragering.fleet.InstanceStart
import boragering.fleet.PaceComparison
import boragering.fleet.Target

/** Reports which targets are slower than the others of their service and model. Used on the event loop only. */
internal class PaceMonitor(private val state: GatewayState) {
    private var slow = emptyMap<InstanceStart, Double>()

    /** Number of targets that were slow at the last check. */
    val slowTargets: Int get() = slow.size

    /** Compares the paces of all targets, and logs those that have become slow or usual. */
    fun check() {
        val current = slowTargets(state.targets.all)
        (current.keys - slow.keys).forEach { state.log.event("target-slow", "target" to it, "factor" to current[it]) }
        (slow.keys - current.keys).forEach { state.log.event("target-pace-usual", "target" to it) }
        slow = current
    }

    private fun slowTargets(targets: List<Target>): Map<InstanceStart, Double> =
        state.usages.paces(targets).groupBy { it.target.service to it.target.model }.values.flatMap { candidates ->
            val comparison = PaceComparison(candidates)
            candidates.map { it.target.head to comparison.slowness(it) }.filter { it.second > PaceComparison.USUAL }
        }.toMap()
}
