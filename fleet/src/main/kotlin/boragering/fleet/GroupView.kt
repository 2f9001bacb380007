package boragering.fleet

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet

/**
 * The listed instances that report membership of one group and epoch, ordered by rank.
 *
 * Each epoch belongs to exactly one list of members, so ranks without gaps identify that list.
 */
data class GroupView(val group: GroupEpoch, val members: PersistentList<Instance>) {
    /** The member that receives the group's requests; `null` when it is not listed. */
    val head: Instance? get() = members.firstOrNull()?.takeIf { it.membership?.rank == 0 }

    /** The model that the group serves, according to the weights that its head has loaded; `null` if unknown. */
    fun model(engine: EngineProfile): ModelName? = head?.loaded?.singleOrNull { it in engine.models }

    /** The model of the group if all its members are listed; `null` if some are missing or none has loaded a model. */
    fun wholeModel(engine: EngineProfile): ModelName? =
        members.firstNotNullOfOrNull { member -> engine.models.keys.singleOrNull { it in member.loaded } }
            ?.takeIf { members.size == engine.models.getValue(it).groupSize }

    /** Whether all [size] members are listed, are ready or open, and are not leaving. */
    fun whole(size: Int): Boolean =
        members.size == size &&
            members.withIndex().all { (rank, member) -> member.membership?.rank == rank && stable(member) }

    /** The request target for the group; `null` unless the group is whole and its head is open. */
    fun target(engine: EngineProfile): Target? {
        val model = model(engine)
        val size = model?.let { engine.models.getValue(it).groupSize }
        val open = head?.takeIf { it.membership?.state == MemberState.OPEN }
        return if (open == null || size == null || !whole(size)) null else target(open, model, engine)
    }

    private fun target(open: Instance, model: ModelName, engine: EngineProfile): Target =
        Target(
            service = open.service,
            address = open.address,
            availabilityZone = open.availabilityZone,
            slots = engine.slots,
            members = members.map { it.start }.toPersistentList(),
            model = model,
            group = group,
            memberZones = members.map { it.availabilityZone }.toPersistentSet(),
            slowdown = slowdown(engine),
        )

    private fun slowdown(engine: EngineProfile): Double {
        val domains = members.mapTo(HashSet()) { it.groupDomain }
        return if (domains.size > 1) engine.crossDomainSlowdown ?: 1.0 else 1.0
    }

    private fun stable(member: Instance): Boolean =
        member.state == InstanceState.SERVING && member.membership?.state in STABLE_STATES

    /** Creates views from listed instances. */
    companion object {
        private val STABLE_STATES = setOf(MemberState.READY, MemberState.OPEN)

        /** Returns one view for each group and epoch of which [instances] are members. */
        fun of(instances: Collection<Instance>): List<GroupView> =
            instances.filter { it.membership != null }
                .groupBy { checkNotNull(it.membership).group }
                .map { (group, members) ->
                    GroupView(group, members.sortedBy { it.membership?.rank }.toPersistentList())
                }
    }
}
