package boragering.core.requests

import boragering.core.Candidate
import kotlin.random.Random

/** Strategy for choosing a target among those with free slots. */
sealed interface ReplicaSelection {
    /** Chooses a target uniformly at random. */
    data object UniformRandom : ReplicaSelection

    /** Chooses the targets in turn. */
    data object RoundRobin : ReplicaSelection

    /** Chooses the target with the fewest requests in flight from this daemon. */
    data object LeastInFlight : ReplicaSelection

    /**
     * Chooses the cheaper of two random targets. The cost depends on this daemon's requests in flight, on the reported
     * load, discounted by the age of the report, and on recent latency. Long requests are confined to a share of each
     * target's slots.
     */
    data object PowerOfTwoChoices : ReplicaSelection
}

/**
 * State of a target when a request is placed. [freeSlots] is the number of further requests that the target can take,
 * [utilisation] the estimated fraction of its slots in use, and [latencyRatio] its recent latency relative to the
 * entry's other targets.
 */
internal data class TargetView(
    val candidate: Candidate,
    val inFlight: Int,
    val freeSlots: Int,
    val utilisation: Double,
    val latencyRatio: Double,
)

/** Chooses targets for one entry. Not thread-safe. */
internal class ReplicaSelector(private val selection: ReplicaSelection, private val random: Random) {
    private var nextIndex = 0

    /** Returns the target for the next request, or `null` if [views] is empty. */
    fun select(views: List<TargetView>): TargetView? = when {
        views.isEmpty() -> null
        else -> when (selection) {
            ReplicaSelection.UniformRandom -> views.random(random)
            ReplicaSelection.RoundRobin -> views[Math.floorMod(nextIndex++, views.size)]
            ReplicaSelection.LeastInFlight -> views.minBy { it.inFlight }
            ReplicaSelection.PowerOfTwoChoices -> cheaperOfTwo(views)
        }
    }

    private fun cheaperOfTwo(views: List<TargetView>): TargetView {
        val first = random.nextInt(views.size)
        val second = if (views.size == 1) first else (first + 1 + random.nextInt(views.size - 1)) % views.size
        return minOf(views[first], views[second], compareBy(::cost))
    }

    /**
     * The cost of a target. [IDLE_COST] gives an idle target a cost above 0, so that latency decides between two idle
     * targets.
     */
    private fun cost(view: TargetView): Double = (view.utilisation + IDLE_COST) * view.latencyRatio

    private companion object {
        const val IDLE_COST = 0.1
    }
}
