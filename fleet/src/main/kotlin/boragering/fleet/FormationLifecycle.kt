package boragering.fleet

import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The next action for a formation. */
internal sealed interface FormationAction {
    /** No action is due now. */
    data object Wait : FormationAction

    /** The planner sends [orders]. */
    data class Send(val orders: List<AddressedOrder>) : FormationAction

    /** The group has ended, and its members can be released. */
    data object Release : FormationAction
}

/** Decides the next action for one formation from the listed state of its members. */
internal class FormationLifecycle(private val state: PoolState, private val now: Duration) {
    private val timing = OrderTiming(now)
    private val teardown = FormationTeardown(state, now)

    /** Updates the phase of [formation] and returns the next action for it. */
    fun next(formation: Formation): FormationAction {
        updatePhase(formation)
        return when (formation.phase) {
            FormationPhase.FORMING -> form(formation)
            FormationPhase.SERVING -> FormationAction.Wait
            FormationPhase.ENDING -> teardown.next(formation)
        }
    }

    private fun updatePhase(formation: Formation) {
        val present = formation.members.map { state.find(it.start) }
        val evacuated = formation.members.filter(state::isEvacuated)
        when {
            present.count { it == null } > evacuated.size -> formation.end(now, "a member is lost", lost = true)
            evacuated.isNotEmpty() -> formation.end(now, "a member is in an evacuated zone", lost = false)
            present.any { it?.state == InstanceState.LEAVING } -> formation.end(now, "a member leaves", lost = false)
            formation.model == null || formation.head == null ->
                formation.end(now, "the members of the group are not known", lost = true)
            else -> updateFromHead(formation, present)
        }
    }

    private fun updateFromHead(formation: Formation, present: List<Instance?>) {
        val head = present.first()?.membership?.takeIf { it.group == formation.group }?.state
        val serving = formation.phase == FormationPhase.SERVING
        when {
            head == MemberState.BROKEN -> formation.end(now, "the head gave the group up", lost = true)
            serving && head != MemberState.OPEN ->
                formation.end(now, "the head does not serve the group any more", lost = true)
            serving && present.any { it?.membership?.group != formation.group } ->
                formation.end(now, "a member is in another group", lost = true)
            formation.phase == FormationPhase.FORMING && head == MemberState.OPEN ->
                formation.phase = FormationPhase.SERVING
        }
    }

    private fun form(formation: Formation): FormationAction {
        val present = formation.members.mapNotNull { state.find(it.start) }
        val notJoined = present.filter { it.membership?.group != formation.group }
        val superseded = formation.sent.values.any { it.outcome == OrderOutcome.Superseded }
        val late = now - formation.createdAt > FORMATION_TIMEOUT
        return when {
            superseded -> FormationAction.Wait.also { formation.end(now, "a newer epoch exists", lost = true) }
            late -> FormationAction.Wait.also { formation.end(now, "the group is not complete in time", lost = true) }
            notJoined.isNotEmpty() -> join(formation, notJoined)
            present.all { it.membership?.state == MemberState.READY } -> open(formation, present.first())
            else -> FormationAction.Wait
        }
    }

    private fun join(formation: Formation, notJoined: List<Instance>): FormationAction {
        val model = formation.model ?: return FormationAction.Wait
        val join = Order.Join(formation.group, model, formation.members.map { it.id }.toPersistentList())
        val due = notJoined.filter { timing.due(formation.sent[it.id], join) }
        return if (due.isEmpty()) FormationAction.Wait else FormationAction.Send(due.map { AddressedOrder(it, join) })
    }

    private fun open(formation: Formation, head: Instance): FormationAction {
        val order = Order.Open(formation.group)
        val effectTimeout = state.engine.formationTime + OrderTiming.LIST_UPDATE_TIMEOUT
        if (!timing.due(formation.sent[head.id], order, effectTimeout)) return FormationAction.Wait
        formation.openUncertain = true
        return FormationAction.Send(listOf(AddressedOrder(head, order)))
    }

    private companion object {
        val FORMATION_TIMEOUT = 120.seconds
    }
}
