package boragering.core.groups

/**
 * Plans one fabric domain. The plan states which groups to drain, remove, repair, dissolve and form, which orders to
 * send, and which shortages cannot be repaired. It depends on [input] alone. An instance is assigned to at most one
 * group, and only in the domain that the live list gives for it.
 *
 * If the catalogue is older than the one that the division was planned for, the division does not change. A planner
 * that has not yet received a change to the catalogue therefore does not revert it.
 */
fun plan(input: PlanningInput): Plan =
    if (input.catalogue.revision < input.division.catalogueRevision) {
        Plan(null, input.ordersFor(input.division), emptyList(), emptyList(), emptyList())
    } else {
        applyRules(input)
    }

private fun applyRules(input: PlanningInput): Plan {
    val draft = PlanningDraft(input)
    draft.removeDrainedGroups()
    draft.drainUnwantedGroups()
    draft.repairGroups()
    draft.raiseFences()
    draft.formModelGroups()
    draft.formServiceGroups()
    input.pendingEvents.forEach { draft.recordEvent(null, it.text, it.entry) }
    draft.addShortageFindings()
    draft.updateUnusableInstances()
    val next = draft.next()
    return Plan(
        next = next,
        orders = input.ordersFor(next ?: input.division),
        findings = draft.findings,
        events = draft.events,
        failedLoads = draft.failedLoads,
    )
}
