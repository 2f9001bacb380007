package boragering.core.groups

import boragering.core.EntryName
import boragering.core.GroupId
import boragering.core.InstanceId

/** The state of one planning step while the rules are applied in order; used by one thread. */
internal class PlanningDraft(val input: PlanningInput) {
    private val present = input.division
    private val groupsById = present.groups.associateByTo(LinkedHashMap()) { it.id }
    private var formed = 0
    private var unusable = present.unusable

    /** Events of this step. */
    val events = mutableListOf<DivisionEvent>()

    /** Instances that this step leaves out because they did not become ready. */
    val failedLoads = mutableListOf<InstanceId>()

    /** Findings of this step. */
    val findings = mutableListOf<HealthFinding>()

    /** The instances that can be assigned. */
    val spares = SpareInstances(input)

    /**
     * The version that this step writes. It is above every fencing number that an instance of the domain reports, so
     * that orders are accepted even if the store was restored from an old copy.
     */
    val version: Long =
        maxOf(present.version, highestReportedFence()) + if (refusedFences()) REFUSED_STEP else 1

    /** The groups as changed so far. */
    val groups: Collection<Group> get() = groupsById.values

    /** Active groups of [entry]. */
    fun active(entry: EntryName): List<Group> =
        groups.filter { it.entry == entry && it.phase == GroupPhase.Active }

    /** Replaces the group of the same identity, or adds it, and notes [event]. */
    fun putGroup(group: Group, event: String) {
        groupsById[group.id] = group
        spares.markAssigned(group.members.map { it.instance })
        recordEvent(group, event)
    }

    /** Removes [group], notes [event], and makes its members available if they can be. */
    fun remove(group: Group, event: String) {
        groupsById.remove(group.id)
        spares.markUnassigned(group.members.map { it.instance })
        recordEvent(group, event)
    }

    /** An identity for a new group; it is never used again in any domain. */
    fun newId(entry: EntryName): GroupId = GroupId("$entry.${present.domain}.$version.${formed++}")

    /** Records an event about [group]. */
    fun recordEvent(group: Group?, text: String, entry: EntryName? = group?.entry) {
        events += DivisionEvent(input.stamp, group?.id, entry, text)
    }

    /** Sets the listed instances that planners of other domains must not count as spare. */
    fun setUnusable(instances: List<InstanceId>) {
        unusable = instances
    }

    /** The division to write, `null` when nothing changed. */
    fun next(): Division? {
        val groups = groups.toList()
        if (groups == present.groups && unusable == present.unusable && events.isEmpty()) return null
        return Division(
            present.domain,
            version,
            groups,
            (present.events + events).takeLast(KEPT_EVENTS),
            unusable,
            input.catalogue.revision,
        )
    }

    private fun highestReportedFence(): Long =
        input.listed.keys
            .mapNotNull { input.recent(it)?.fence?.value }
            .filter { it <= present.version + LARGEST_JUMP }
            .maxOrNull() ?: 0

    /** Whether an instance refused the present number of its group, which does not tell which one it would accept. */
    private fun refusedFences(): Boolean =
        present.groups.any { group ->
            group.members.any { input.refused[it.instance] == GroupKey(group.id, group.fence) }
        }

    private companion object {
        /** Large enough to pass in a few steps the numbers that a restored store lost. */
        const val REFUSED_STEP = 100L

        /** One faulty engine that reports an absurd number must not exhaust the numbers of its domain. */
        const val LARGEST_JUMP = 1_000_000L

        const val KEPT_EVENTS = 50
    }
}
