package boragering.core.groups

import boragering.core.FabricDomain
import boragering.core.InstanceId
import boragering.core.catalogue.ModelEntry

/**
 * Adds findings for shortages that the domain cannot repair, and for groups that drain for too long. Wanted replicas
 * that no domain can hold are reported by every planner, without a domain. Such a finding gives the number of active
 * groups as the number of whole replicas, because a planner knows the health of the groups in its own domain only.
 */
internal fun PlanningDraft.addShortageFindings() {
    input.catalogue.entries.values.filterIsInstance<ModelEntry>().forEach { entry ->
        if (input.distribution.unplaced(entry.name) > 0) {
            val active = input.fleet.replicas(entry.name).values.sumOf { it.total }
            addFinding(null, entry, active, "no domain has enough spare instances")
        }
        findDomainShortage(entry)
    }
    groups.forEach { group ->
        val drainingFor = input.drainingFor[group.id]
        val entry = input.catalogue.entries[group.entry] as? ModelEntry
        if (entry != null && drainingFor != null && drainingFor >= input.settings.loadLimit) {
            val whole = active(entry.name).count(input::isWhole)
            addFinding(input.division.domain, entry, whole, "group ${group.id} drains but does not finish its requests")
        }
    }
}

private fun PlanningDraft.findDomainShortage(entry: ModelEntry) {
    val domain = input.division.domain
    val groups = active(entry.name)
    val missing = groups.size < input.distribution.share(entry.name, domain)
    if (missing && spares.count(entry.pool) < entry.groupSize) {
        addFinding(domain, entry, groups.count(input::isWhole), "not enough usable spare instances")
    }
}

private fun PlanningDraft.addFinding(domain: FabricDomain?, entry: ModelEntry, whole: Int, reason: String) {
    val wanted = domain?.let { input.distribution.share(entry.name, it) } ?: entry.replicas
    findings += HealthFinding(domain, entry.name, wanted, whole, reason, input.stamp.milliseconds)
}

/**
 * Lists the instances that are in no group and cannot be assigned. The list is written together with another change, or
 * when the domain lacks replicas of its share or wanted replicas are unplaced, because only then do planners of other
 * domains depend on it.
 */
internal fun PlanningDraft.updateUnusableInstances() {
    val members = groups.flatMapTo(HashSet()) { group -> group.members.map { it.instance } }
    val unusable = input.listed.keys
        .filter { it !in members && isUnusable(it) }
        .sortedBy { it.value }
    val lacking = input.catalogue.entries.values.filterIsInstance<ModelEntry>().any { entry ->
        val share = input.distribution.share(entry.name, input.division.domain)
        active(entry.name).size < share || input.distribution.unplaced(entry.name) > 0
    }
    if (lacking || events.isNotEmpty()) setUnusable(unusable)
}

private fun PlanningDraft.isUnusable(instance: InstanceId): Boolean {
    val seen = input.observations[instance] ?: return false
    val silent = seen.silentFor >= input.settings.lossLimit
    // An instance that is silent for longer than the evidence limit but not the loss limit keeps its state.
    val undecided = input.recent(instance) == null && instance in input.division.unusable
    return silent || undecided || instance in input.recentLoadFailures || isUnassignable(instance)
}

private fun PlanningDraft.isUnassignable(instance: InstanceId): Boolean {
    val report = input.recent(instance) ?: return false
    return report.leaving || input.fleet.isMemberElsewhere(instance, report.incarnation, input.division.domain)
}
