package boragering.core

/**
 * Plans one fabric domain: which groups to drain, remove, repair, dissolve and form, which orders to send, and what
 * cannot be repaired. The result depends on [input] alone. An instance is assigned to at most one group, and only in
 * the domain that the live list gives for it.
 */
fun plan(input: PlanningInput): Plan {
    val draft = PlanningDraft(input)
    draft.removeDrainedGroups()
    draft.drainUnwantedGroups()
    draft.repairGroups()
    draft.formModelGroups()
    draft.formServiceGroups()
    input.notes.forEach { draft.note(null, it.text, it.entry) }
    draft.findShortages()
    draft.stateUnusable()
    val next = draft.next()
    return Plan(
        next = next,
        orders = input.ordersFor(next ?: input.division),
        findings = draft.findings,
        events = draft.events,
        failedLoads = draft.failedLoads,
    )
}
