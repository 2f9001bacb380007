package boragering.core.requests

import boragering.core.Candidate
import kotlin.random.Random

/** How a target is chosen among those with free capacity. */
sealed interface ReplicaSelection {
    /** Any of them, at random. */
    data object UniformRandom : ReplicaSelection

    /** Each in turn. */
    data object RoundRobin : ReplicaSelection

    /** The one with the fewest of this daemon's requests. */
    data object LeastInFlight : ReplicaSelection

    /**
     * The cheaper one of two random ones, by this daemon's requests, the reported load discounted by its age, and
     * recent latency. Long requests are confined to a share of each target's slots.
     */
    data object PowerOfTwoChoices : ReplicaSelection
}

/**
 * What is known about a target when a request is placed. [freeSlots] is the number of requests that it can take, [utilisation] the
 * estimated fraction of its slots in use, and [latencyRatio] its recent latency relative to the entry's other targets.
 */
internal data class TargetView(
    val candidate: Candidate,
    val inFlight: Int,
    val freeSlots: Int,
    val utilisation: Double,
    val latencyRatio: Double,
)

/** Chooses targets for one entry. Not safe for several threads. */
internal class ReplicaSelector(private val selection: ReplicaSelection, private val random: Random) {
    private var nextIndex = 0

    /** The target for the next request; `null` when [views] is empty. */
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

    /** An idle target still costs something, so that latency decides between two idle ones. */
    private fun cost(view: TargetView): Double = (view.utilisation + IDLE_COST) * view.latencyRatio

    private companion object {
        const val IDLE_COST = 0.1
    }
}
