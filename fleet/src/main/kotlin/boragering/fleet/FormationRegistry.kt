package boragering.fleet

import boragering.core.FabricDomain
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The groups that a planner has formed or found, until their members are free. Not safe for use by several threads. */
internal class FormationRegistry {
    private val formations = LinkedHashMap<GroupEpoch, Formation>()
    private val released = HashSet<GroupEpoch>()
    private val releasedWithUnknownHead = HashSet<GroupEpoch>()

    /** All formations, the oldest first. */
    val all: List<Formation> get() = formations.values.toList()

    /** Formations whose heads are open. */
    val serving: List<Formation> get() = formations.values.filter { it.phase == FormationPhase.SERVING }

    /** Whether there has never been a group. */
    val neverHadGroups: Boolean get() = formations.isEmpty() && released.isEmpty()

    /** Starts of all members. */
    val members: Set<InstanceStart>
        get() = formations.values.flatMapTo(HashSet()) { formation -> formation.members.map { it.start } }

    operator fun get(group: GroupEpoch?): Formation? = group?.let { formations[it] }

    fun add(formation: Formation) {
        formations[formation.group] = formation
    }

    /** The members of [formation] are free; [headKnown] tells whether the head is known to serve no more. */
    fun release(formation: Formation, headKnown: Boolean) {
        formations.remove(formation.group)
        released += formation.group
        if (!headKnown) releasedWithUnknownHead += formation.group
    }

    /** Whether [instance] may serve a group as its head, though the group's other members were released. */
    fun headMayStillServe(instance: Instance): Boolean =
        instance.leadsServingGroup && instance.membership?.group in releasedWithUnknownHead

    /** Adopts the listed groups that another planner formed, and returns them. */
    fun adopt(state: PoolState, now: Duration): List<Formation> =
        GroupView.of(state.answering)
            .filter { it.group !in formations && !alreadyReleased(it) && !GroupEpochs.standby(it.group) }
            .map { Formation(it.group, it.wholeModel(state.engine), it.members, now, adopted = true) }
            .onEach(::add)

    /** Number of instances in groups of each model that do not end. */
    fun assigned(): Map<ModelName, Int> =
        formations.values.filter { it.phase != FormationPhase.ENDING }
            .mapNotNull { formation -> formation.model?.let { it to formation.members.size } }
            .groupBy({ it.first }, { it.second })
            .mapValues { (_, sizes) -> sizes.sum() }

    /** Domains where members of an ending group will soon be free; they are worth waiting for. */
    fun ending(now: Duration): Set<FabricDomain> =
        formations.values
            .filter { it.endingSince.let { since -> since != null && now - since < RELEASE_TIMEOUT } }
            .flatMapTo(HashSet()) { formation -> formation.members.map { it.groupDomain } }

    /** Number of members that load weights from the store. */
    fun loading(state: PoolState): Int =
        formations.values.filter { it.phase == FormationPhase.FORMING }.sumOf { formation ->
            formation.members.count { isLoading(it, formation, state) }
        }

    private fun isLoading(member: Instance, formation: Formation, state: PoolState): Boolean {
        val model = formation.model ?: return false
        val membership = state.find(member.start)?.membership
        val ready = membership?.group == formation.group && membership.state != MemberState.JOINING
        val ordered = formation.sent[member.id]?.order is Order.Join
        return ordered && !ready && state.find(member.start) != null && !member.holds(model)
    }

    /** A head that has left is listed as serving for a moment. */
    private fun alreadyReleased(view: GroupView): Boolean =
        view.group in released && (view.group !in releasedWithUnknownHead || view.head?.leadsServingGroup != true)

    private companion object {
        /** Time for the head of an ending group to let its members go. */
        val RELEASE_TIMEOUT = 5.seconds
    }
}
