package boragering.fleet

import boragering.core.FabricDomain
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The groups that a planner has formed or adopted, until their members are released. Those that are suspended count for
 * nothing. Not thread-safe.
 */
internal class FormationRegistry {
    private val formations = LinkedHashMap<GroupEpoch, Formation>()
    private val released = HashSet<GroupEpoch>()
    private val releasedWithUnknownHead = HashSet<GroupEpoch>()

    /** All formations, including those that are suspended, in the order in which they were added. */
    val known: List<Formation> get() = formations.values.toList()

    /** All formations that are not suspended. */
    val all: List<Formation> get() = formations.values.filterNot { it.suspended }

    /** Formations in the phase [FormationPhase.SERVING]. */
    val serving: List<Formation> get() = all.filter { it.phase == FormationPhase.SERVING }

    /** Whether no formation was ever added. */
    val neverHadGroups: Boolean get() = formations.isEmpty() && released.isEmpty()

    /** The starts of the members of all formations that are not suspended. */
    val members: Set<InstanceStart>
        get() = all.flatMapTo(HashSet()) { formation -> formation.members.map { it.start } }

    operator fun get(group: GroupEpoch?): Formation? = group?.let { formations[it] }

    fun add(formation: Formation) {
        formations[formation.group] = formation
    }

    /**
     * Removes [formation] so that its members are free. [headKnown] is false when the head was unreachable, so that it
     * may still serve the group.
     */
    fun release(formation: Formation, headKnown: Boolean) {
        formations.remove(formation.group)
        released += formation.group
        if (!headKnown) releasedWithUnknownHead += formation.group
    }

    /** Whether [instance] is listed as the serving head of a group that was released while the head was unreachable. */
    fun headMayStillServe(instance: Instance): Boolean =
        instance.leadsServingGroup && instance.membership?.group in releasedWithUnknownHead

    /** Adopts the listed groups that are not known yet, because another planner formed them, and returns them. */
    fun adopt(state: PoolState, now: Duration): List<Formation> =
        GroupView.of(state.answering + state.withheld)
            .filter { it.group !in formations && !alreadyReleased(it, state) && !GroupEpochs.standby(it.group) }
            .map { Formation(it.group, it.wholeModel(state.engine), it.members, now, adopted = true) }
            .onEach(::add)

    /**
     * Number of instances of each model in groups that are not ending. Groups across domains do not count: they only
     * serve until the model has others.
     */
    fun assigned(): Map<ModelName, Int> =
        all.filter { it.phase != FormationPhase.ENDING && !it.crossesDomains }
            .mapNotNull { formation -> formation.model?.let { it to formation.members.size } }
            .groupBy({ it.first }, { it.second })
            .mapValues { (_, sizes) -> sizes.sum() }

    /**
     * Domains with a group that began to end less than [RELEASE_TIMEOUT] ago. New groups there should wait for its
     * members, which will soon be free.
     */
    fun ending(now: Duration): Set<FabricDomain> =
        all.filter { it.endingSince.let { since -> since != null && now - since < RELEASE_TIMEOUT } }
            .flatMapTo(HashSet()) { formation -> formation.members.map { it.groupDomain } }

    /** Number of members that are loading weights from the weight store. */
    fun loading(state: PoolState): Int =
        all.filter { it.phase == FormationPhase.FORMING }.sumOf { formation ->
            formation.members.count { isLoading(it, formation, state) }
        }

    private fun isLoading(member: Instance, formation: Formation, state: PoolState): Boolean {
        val model = formation.model ?: return false
        val membership = state.find(member.start)?.membership
        val ready = membership?.group == formation.group && membership.state != MemberState.JOINING
        val ordered = formation.sent[member.id]?.order is Order.Join
        return ordered && !ready && state.find(member.start) != null && !member.holds(model)
    }

    /**
     * Whether the listed group is one that was released, rather than one to adopt. A head that has left is still listed
     * as serving for a moment. A serving head that was unreachable at the release has returned: its group is adopted.
     * A head in an evacuated zone stays unreachable until the zone reopens.
     */
    private fun alreadyReleased(view: GroupView, state: PoolState): Boolean {
        val returned = view.head?.let { it.leadsServingGroup && state.find(it.start) != null } == true
        return view.group in released && (view.group !in releasedWithUnknownHead || !returned)
    }

    private companion object {
        /** Time allowed for the head of an ending group to release its members. */
        val RELEASE_TIMEOUT = 5.seconds
    }
}
