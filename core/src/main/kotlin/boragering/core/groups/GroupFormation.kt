package boragering.core.groups

import boragering.core.Fence
import boragering.core.catalogue.ModelEntry
import boragering.core.catalogue.ServiceEntry

/** Forms groups of spare instances while this domain has fewer replicas than its share. */
internal fun PlanningDraft.formModelGroups() {
    val domain = input.division.domain
    input.catalogue.entries.values
        .filterIsInstance<ModelEntry>()
        .sortedWith(compareByDescending<ModelEntry> { it.requestClass.urgency }.thenBy { it.name.value })
        .forEach { entry ->
            val wanted = input.distribution.share(entry.name, domain) + replacements(entry)
            while (active(entry.name).size < wanted && canLoad(entry)) formGroup(entry)
        }
}

/**
 * Returns the number of replicas to form beyond the share. It is one while outdated replicas remain, there is no
 * surplus, all current replicas are whole and no group of the entry is draining. A group that this step began to drain
 * needs no replica beyond the share, because the distribution still counts it.
 */
private fun PlanningDraft.replacements(entry: ModelEntry): Int {
    val (current, outdated) = active(entry.name).partition { it.matches(entry) }
    val surplus = input.distribution.surplus(entry.name, input.division.domain)
    val replaces = outdated.isNotEmpty() && surplus == 0 && current.all(input::isWhole) && !isDraining(entry.name)
    return if (replaces) 1 else 0
}

private fun PlanningDraft.canLoad(entry: ModelEntry): Boolean =
    spares.count(entry.pool) >= entry.groupSize && loadsInProgress() < input.settings.loadsAtOnce

/** Number of groups that are loading, including those formed or repaired in this step. */
internal fun PlanningDraft.loadsInProgress(): Int =
    groups.count { group ->
        group.model != null && group.phase == GroupPhase.Active &&
            (
                group.fence.value == version ||
                    group.members.all { input.conditionOf(group, it) !is MemberCondition.Lost }
                ) &&
            !input.isWhole(group)
    }

private fun PlanningDraft.formGroup(entry: ModelEntry) {
    val members = spares.ranked(entry.pool, entry).take(entry.groupSize).map { it.member }
    val group = Group(
        id = newId(entry.name),
        entry = entry.name,
        model = entry.model,
        modelVersion = entry.modelVersion,
        fence = Fence(version),
        members = members,
        leader = members.first().instance,
    )
    putGroup(group, "formed of ${members.joinToString { it.instance.value }}")
}

/** Makes each spare instance of a plain service a group of its own. */
internal fun PlanningDraft.formServiceGroups() {
    input.catalogue.entries.values
        .filterIsInstance<ServiceEntry>()
        .sortedBy { it.name.value }
        .forEach { entry -> spares.ranked(entry.pool, entry).forEach { formServiceGroup(entry, it) } }
}

private fun PlanningDraft.formServiceGroup(entry: ServiceEntry, spare: SpareInstance) {
    val group = Group(newId(entry.name), entry.name, null, null, Fence(version), listOf(spare.member), spare.listed.id)
    putGroup(group, "formed of ${spare.listed.id}")
}
