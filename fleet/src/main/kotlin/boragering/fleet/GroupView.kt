package boragering.fleet

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/**
 * The listed instances that say that they belong to one group and epoch, in the order of their ranks.
 *
 * An epoch belongs to one list of members, so that ranks without gaps name exactly that list.
 */
data class GroupView(val group: GroupEpoch, val members: PersistentList<Instance>) {
    /** The member that gets the group's requests; `null` when it is not listed. */
    val head: Instance? get() = members.firstOrNull()?.takeIf { it.membership?.rank == 0 }

    /** The model that the group serves, as its head shows it. */
    fun model(engine: EngineProfile): ModelName? = head?.loaded?.singleOrNull { it in engine.models }

    /** The model of a group of which all members are listed; `null` when some are missing. */
    fun wholeModel(engine: EngineProfile): ModelName? =
        members.firstNotNullOfOrNull { member -> engine.models.keys.singleOrNull { it in member.loaded } }
            ?.takeIf { members.size == engine.models.getValue(it).groupSize }

    /** Whether each of [size] members is listed, has reached at least readiness and stays. */
    fun whole(size: Int): Boolean =
        members.size == size &&
            members.withIndex().all { (rank, member) -> member.membership?.rank == rank && stable(member) }

    /** The target that the group makes; `null` unless it is whole and its head is open. */
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
        )

    private fun stable(member: Instance): Boolean =
        member.state == InstanceState.SERVING && member.membership?.state in STABLE_STATES

    /** Groups instances. */
    companion object {
        private val STABLE_STATES = setOf(MemberState.READY, MemberState.OPEN)

        /** One view for each group and epoch that [instances] name. */
        fun of(instances: Collection<Instance>): List<GroupView> =
            instances.filter { it.membership != null }
                .groupBy { checkNotNull(it.membership).group }
                .map { (group, members) ->
                    GroupView(group, members.sortedBy { it.membership?.rank }.toPersistentList())
                }
    }
}
