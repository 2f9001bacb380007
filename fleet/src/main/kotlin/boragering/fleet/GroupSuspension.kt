package boragering.fleet

/**
 * Suspends the groups all of whose members are in evacuated availability zones. Such a group keeps its state and serves
 * again at once when a zone of it reopens. A group with members in open zones is not suspended; it ends, because those
 * members can serve in another group.
 */
internal class GroupSuspension(private val state: PoolState) {
    /** Suspends or resumes each of [formations], and returns what to log. */
    fun update(formations: List<Formation>): List<PlanningDecision> {
        val changed = formations.filter { it.suspended != isEvacuated(it) }.onEach { it.suspended = !it.suspended }
        val (suspended, resumed) = changed.partition { it.suspended }
        return record("groups-suspended", suspended) + record("groups-resumed", resumed)
    }

    private fun isEvacuated(formation: Formation): Boolean = formation.members.all(state::isEvacuated)

    /** One record for all groups, because an availability zone can have hundreds of them. */
    private fun record(decision: String, formations: List<Formation>): List<PlanningDecision> =
        if (formations.isEmpty()) emptyList() else listOf(PlanningDecision(null, decision, "${formations.size} groups"))
}
