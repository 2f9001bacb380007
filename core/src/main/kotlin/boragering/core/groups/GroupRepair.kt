package boragering.core.groups

import boragering.core.Fence
import boragering.core.catalogue.Entry
import boragering.core.catalogue.ModelEntry

/**
 * Replaces lost members by spare instances. When a pool has too few spare instances, groups are dissolved so that their
 * remaining members can complete other groups. Groups that lack the fewest members are repaired first, and groups that
 * lack the most are dissolved first.
 */
internal fun PlanningDraft.repairGroups() {
    groups
        .filter { it.phase == GroupPhase.Active }
        .mapNotNull(::brokenGroup)
        .groupBy { it.pool }
        .forEach { (pool, broken) -> repairPool(pool, broken) }
}

/**
 * Gives a group a new fencing number when a member that enforces fencing reports a higher one or refused the present
 * one, for example after an order for another domain. Such a member would refuse every order with the present number.
 */
internal fun PlanningDraft.raiseFences() {
    groups.filter { it.phase == GroupPhase.Active && enforcesFencing(it) }.forEach { group ->
        val refusing = group.members.firstOrNull { member ->
            val report = input.recent(member.instance)?.takeIf { it.incarnation == member.incarnation }
            val reportsHigher = report?.fence?.let { it > group.fence && it.value < version } ?: false
            reportsHigher || input.refused[member.instance] == GroupKey(group.id, group.fence)
        }
        if (refusing != null) {
            putGroup(
                group.copy(fence = Fence(version)),
                "new fencing number: ${refusing.instance} has seen a higher one",
            )
        }
    }
}

private fun PlanningDraft.enforcesFencing(group: Group): Boolean =
    (input.catalogue.entries[group.entry] as? ModelEntry)?.enforcesFencing ?: false

/** An active group and its lost members. [pool] is `null` when the group's entry is not in the catalogue. */
private class BrokenGroup(val group: Group, val entry: Entry?, val lost: Map<Member, MemberCondition.Lost>) {
    val pool: String? get() = entry?.pool
    val reason: String
        get() = lost.entries.joinToString("; ") { (member, state) -> "${member.instance} ${state.reason}" }
}

private fun PlanningDraft.brokenGroup(group: Group): BrokenGroup? {
    val lost = group.members.mapNotNull { member ->
        (input.conditionOf(group, member) as? MemberCondition.Lost)?.let { member to it }
    }
    return if (lost.isEmpty()) null else BrokenGroup(group, input.catalogue.entries[group.entry], lost.toMap())
}

private fun PlanningDraft.repairPool(pool: String?, broken: List<BrokenGroup>) {
    val remaining = ArrayDeque(broken.sortedWith(compareBy({ it.lost.size }, { it.group.id.value })))
    while (remaining.isNotEmpty()) {
        val leastDamaged = remaining.first()
        val missingMembers = leastDamaged.lost.size - (pool?.let(spares::count) ?: 0)
        when {
            missingMembers > returnableMembers(leastDamaged, settled = false) -> dissolve(remaining.removeLast())
            // The group waits until its restarted members can be assigned again.
            missingMembers > returnableMembers(leastDamaged, settled = true) -> remaining.removeFirst()
            // The group waits for its turn to load; a later step repairs it.
            !loadsAllowed(leastDamaged.group) -> remaining.removeFirst()
            else -> repair(remaining.removeFirst())
        }
    }
}

/**
 * Returns the number of lost members that can be assigned again, such as restarted ones. With [settled], only those
 * whose incarnation has been known for long enough are counted; the others can be assigned later.
 */
private fun PlanningDraft.returnableMembers(broken: BrokenGroup, settled: Boolean): Int =
    broken.lost.count { (member, state) -> !state.loadFailed && spares.canReturn(member.instance, settled) }

private fun PlanningDraft.loadsAllowed(group: Group): Boolean =
    group.model == null || loadsInProgress() < input.settings.loadsAtOnce

private fun PlanningDraft.repair(broken: BrokenGroup) {
    val group = broken.group
    recordFailedLoads(broken)
    val entry = broken.entry ?: return
    spares.markUnassigned(broken.lost.keys.map { it.instance })
    val replacements = spares.ranked(entry.pool, entry).take(broken.lost.size).map { it.member }
    val members = group.members - broken.lost.keys + replacements
    val leader = if (members.any { it.instance == group.leader }) group.leader else members.first().instance
    val repaired = group.copy(fence = Fence(version), members = members, leader = leader)
    putGroup(repaired, "repaired with ${replacements.joinToString { it.instance.value }}: ${broken.reason}")
}

private fun PlanningDraft.dissolve(broken: BrokenGroup) {
    recordFailedLoads(broken)
    remove(broken.group, "dissolved, no spare instances: ${broken.reason}")
}

/**
 * Records the lost members that did not become ready in time, so that they are not assigned again at once. If every
 * member of the group is lost, for whatever reason, none is recorded: no member is then left that may have become
 * ready, so the failed loads are not blamed on single instances.
 */
private fun PlanningDraft.recordFailedLoads(broken: BrokenGroup) {
    if (broken.lost.size == broken.group.members.size) return
    val failed = broken.lost.filterValues { it.loadFailed }.keys.map { it.instance }
    failedLoads += failed
    spares.exclude(failed)
}
