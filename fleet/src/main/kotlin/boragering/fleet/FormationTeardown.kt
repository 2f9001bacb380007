package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Dissolves a group in such an order that no member ever belongs to two groups at once. */
internal class FormationTeardown(private val state: PoolState, private val now: Duration) {
    private val timing = OrderTiming(now)

    /** Returns the next action for a formation that is ending. */
    fun next(formation: Formation): FormationAction {
        val head = formation.head?.let { state.find(it.start) }
        val membership = head?.membership?.takeIf { it.group == formation.group }
        return when {
            head == null -> if (mayFinish(formation)) FormationAction.Wait else leaveWithoutHead(formation)
            membership == null || hasLeft(formation, head) -> FormationAction.Release
            membership.state == MemberState.OPEN || membership.state == MemberState.CLOSING -> close(formation, head)
            formation.openUncertain -> order(formation, head, Order.Leave(formation.group))
            else -> FormationAction.Release
        }
    }

    /**
     * Closes the head so that it finishes its requests. Orders it to leave at once if the work is lost anyway or if it
     * has not finished within [CLOSE_TIMEOUT].
     */
    private fun close(formation: Formation, head: Instance): FormationAction {
        val graceful = !formation.memberLost && !closeTimedOut(formation)
        return order(formation, head, if (graceful) Order.Close(formation.group) else Order.Leave(formation.group))
    }

    private fun order(formation: Formation, head: Instance, order: Order): FormationAction =
        if (timing.due(formation.sent[head.id], order, CLOSE_TIMEOUT)) {
            FormationAction.Send(listOf(AddressedOrder(head, order)))
        } else {
            FormationAction.Wait
        }

    /** Whether a head in an evacuated zone, which gets no order, still has time to finish its running requests. */
    private fun mayFinish(formation: Formation): Boolean {
        val evacuated = formation.head?.let(state::isEvacuated) == true
        return evacuated && formation.openUncertain && !formation.memberLost && !closeTimedOut(formation)
    }

    private fun closeTimedOut(formation: Formation): Boolean = now - (formation.endingSince ?: now) >= CLOSE_TIMEOUT

    /**
     * Orders the remaining members to leave before they are released. A head that is not listed or does not answer may
     * still be open and may return, and its members must not belong to two groups then. A head without members cannot
     * run requests.
     */
    private fun leaveWithoutHead(formation: Formation): FormationAction {
        val remaining = formation.members.filter { it != formation.head }.mapNotNull { state.find(it.start) }
            .filter { it.membership?.group == formation.group && !hasLeft(formation, it) }
        val order = Order.Leave(formation.group)
        val due = remaining.filter { timing.due(formation.sent[it.id], order) }
        return when {
            remaining.isEmpty() -> FormationAction.Release
            due.isEmpty() -> FormationAction.Wait
            else -> FormationAction.Send(due.map { AddressedOrder(it, order) })
        }
    }

    private fun hasLeft(formation: Formation, member: Instance): Boolean {
        val last = formation.sent[member.id] ?: return false
        return last.order is Order.Leave && last.outcome == OrderOutcome.Accepted
    }

    private companion object {
        /** Time allowed for the head of an ending group to finish its running requests. */
        val CLOSE_TIMEOUT = 8.seconds
    }
}
