package boragering.core.groups

import boragering.core.EntryName
import boragering.core.catalogue.Entry
import boragering.core.catalogue.ModelEntry

/**
 * Removes the groups that have drained for the minimum time and whose leader has finished its requests or is lost.
 */
internal fun PlanningDraft.removeDrainedGroups() {
    groups.filter { it.phase is GroupPhase.Draining }.forEach { group ->
        val drainedFor = input.drainingFor[group.id]
        if (drainedFor != null && drainedFor >= input.settings.drainTime && hasFinished(group)) {
            remove(group, "removed after draining")
        }
    }
}

private fun PlanningDraft.hasFinished(group: Group): Boolean {
    val leader = group.leadingMember
    val state = input.conditionOf(group, leader)
    val idle = input.recent(leader.instance) != null &&
        input.observations.getValue(leader.instance).idleFor >= input.settings.idleTime
    // A leader that answers but has long been unready may still run requests, so only its idleness counts.
    return idle || (state is MemberCondition.Lost && !state.loadFailed)
}

/** Begins to drain the groups that are no longer wanted and those with a member that is leaving. */
internal fun PlanningDraft.drainUnwantedGroups() {
    groups.filter { it.phase == GroupPhase.Active }.forEach { group ->
        val reason = drainReason(group)
        if (reason != null) drain(group, reason)
    }
    input.catalogue.entries.values.filterIsInstance<ModelEntry>().forEach { drainReplicas(it) }
}

private fun PlanningDraft.drainReason(group: Group): String? {
    val entry = input.catalogue.entries[group.entry]
    val leaving = group.members.firstOrNull { input.leaving(it.instance) }
    return when {
        entry == null -> "the catalogue has no entry ${group.entry}"
        (entry is ModelEntry) != (group.model != null) -> "the entry's kind changed"
        inOtherPool(group, entry) -> "the entry's pool changed"
        leaving != null -> "member ${leaving.instance} is leaving"
        else -> null
    }
}

private fun PlanningDraft.inOtherPool(group: Group, entry: Entry): Boolean =
    group.members.any { member -> input.listed[member.instance]?.let { it.pool != entry.pool } ?: false }

/**
 * Drains the surplus replicas of [entry] and replaces outdated replicas. Outdated replicas are drained only while all
 * current replicas are whole. While there are enough spare instances, they are drained only as surplus, after a current
 * replica has been formed, so that a change of version causes no downtime. Without enough spare instances, they are
 * drained one at a time.
 */
private fun PlanningDraft.drainReplicas(entry: ModelEntry) {
    val (current, outdated) = active(entry.name).partition { it.matches(entry) }
    val surplus = lastingSurplus(entry.name)
    if (outdated.isEmpty()) {
        leastUseful(current).take(surplus).forEach { drain(it, "more replicas than wanted") }
    } else if (current.all(input::isWhole)) {
        val step = if (spares.count(entry.pool) < entry.groupSize && !isDraining(entry.name)) 1 else 0
        leastUseful(outdated).take(maxOf(surplus, step)).forEach { drain(it, "the entry's size or version changed") }
    }
}

private fun PlanningDraft.lastingSurplus(entry: EntryName): Int {
    val lasted = input.surplusFor[entry] ?: return 0
    val surplus = input.distribution.surplus(entry, input.division.domain)
    return if (lasted >= input.settings.surplusDelay) surplus else 0
}

/** Sorts groups that are not whole first, then by the number of running requests. */
private fun PlanningDraft.leastUseful(groups: List<Group>): List<Group> =
    groups.sortedWith(
        compareBy<Group>({ input.isWhole(it) }, { input.recent(it.leader)?.running ?: 0 })
            .thenByDescending { it.id.value },
    )

/** Whether a group of [entry] is draining in this domain. */
internal fun PlanningDraft.isDraining(entry: EntryName): Boolean =
    groups.any { it.entry == entry && it.phase is GroupPhase.Draining }

private fun PlanningDraft.drain(group: Group, reason: String) {
    putGroup(group.copy(phase = GroupPhase.Draining(reason, input.stamp.milliseconds)), "draining: $reason")
}
