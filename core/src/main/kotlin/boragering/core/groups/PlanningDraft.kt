package boragering.core.groups

import boragering.core.EntryName
import boragering.core.GroupId
import boragering.core.InstanceId

/** The working state of one planning step, which the planning rules change one after the other. Used by one thread. */
internal class PlanningDraft(val input: PlanningInput) {
    private val present = input.division
    private val groupsById = present.groups.associateByTo(LinkedHashMap()) { it.id }
    private var formed = 0
    private var unusable = present.unusable

    /** Events of this step. */
    val events = mutableListOf<DivisionEvent>()

    /** Instances that this step does not assign because they did not become ready. */
    val failedLoads = mutableListOf<InstanceId>()

    /** Findings of this step. */
    val findings = mutableListOf<HealthFinding>()

    /** The instances that can be assigned. */
    val spares = SpareInstances(input)

    /**
     * The version that this step writes. It is higher than every plausible fencing number that an instance of the
     * domain reports, so that orders are accepted even if the store was restored from an old copy.
     */
    val version: Long =
        maxOf(present.version, highestReportedFence()) + if (refusedFences()) REFUSED_STEP else 1

    /** The groups with the changes of this step so far. */
    val groups: Collection<Group> get() = groupsById.values

    /** Active groups of [entry]. */
    fun active(entry: EntryName): List<Group> =
        groups.filter { it.entry == entry && it.phase == GroupPhase.Active }

    /** Adds [group], or replaces the group of the same identity, and records [event]. */
    fun putGroup(group: Group, event: String) {
        groupsById[group.id] = group
        spares.markAssigned(group.members.map { it.instance })
        recordEvent(group, event)
    }

    /** Removes [group], records [event], and makes those members spare that can be assigned. */
    fun remove(group: Group, event: String) {
        groupsById.remove(group.id)
        spares.markUnassigned(group.members.map { it.instance })
        recordEvent(group, event)
    }

    /** Returns an identity for a new group. No other group in any domain ever gets the same identity. */
    fun newId(entry: EntryName): GroupId = GroupId("$entry.${present.domain}.$version.${formed++}")

    /** Records an event about [group], or about [entry] when [group] is `null`. */
    fun recordEvent(group: Group?, text: String, entry: EntryName? = group?.entry) {
        events += DivisionEvent(input.stamp, group?.id, entry, text)
    }

    /** Sets the listed instances that planners of other domains must not count as spare. */
    fun setUnusable(instances: List<InstanceId>) {
        unusable = instances
    }

    /** Returns the division to write, `null` when nothing changed. */
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

    /**
     * Whether a member refused the present fencing number of its group. The refusal does not say which number the
     * member would accept.
     */
    private fun refusedFences(): Boolean =
        present.groups.any { group ->
            group.members.any { input.refused[it.instance] == GroupKey(group.id, group.fence) }
        }

    private companion object {
        /**
         * Increment of the version after a refusal. It is large enough to exceed within a few steps the numbers that a
         * store restored from an old copy has lost.
         */
        const val REFUSED_STEP = 100L

        /**
         * Reported fencing numbers that exceed the present version by more than this are ignored, so that one faulty
         * engine that reports an absurd number cannot exhaust the numbers of its domain.
         */
        const val LARGEST_JUMP = 1_000_000L

        const val KEPT_EVENTS = 50
    }
}
