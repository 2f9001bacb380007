package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Takes a group apart so that its members can join another one without ever belonging to two. */
internal class FormationEnd(private val state: PoolState, private val now: Duration) {
    private val timing = OrderTiming(now)

    /** The next step of a formation that ends. */
    fun next(formation: Formation): Step {
        val head = formation.head?.let { state.present(it.start) }
        val membership = head?.membership?.takeIf { it.group == formation.group }
        return when {
            head == null -> leaveWithoutHead(formation)
            membership == null || left(formation, head) -> Step.Release
            membership.state == MemberState.OPEN || membership.state == MemberState.CLOSING -> close(formation, head)
            formation.openUncertain -> order(formation, head, Order.Leave(formation.group))
            else -> Step.Release
        }
    }

    /** Lets the head finish its work, unless that is lost anyway. */
    private fun close(formation: Formation, head: Instance): Step {
        val since = formation.endingSince ?: now
        val patient = !formation.memberLost && now - since < CLOSE_LIMIT
        return order(formation, head, if (patient) Order.Close(formation.group) else Order.Leave(formation.group))
    }

    private fun order(formation: Formation, head: Instance, order: Order): Step =
        if (timing.due(formation.sent[head.id], order, CLOSE_LIMIT)) {
            Step.Send(listOf(AddressedOrder(head, order)))
        } else {
            Step.Wait
        }

    /**
     * A head that is not listed or does not answer may still be open, and return. Its members leave it first, so that
     * they never belong to two groups; a head without members runs nothing.
     */
    private fun leaveWithoutHead(formation: Formation): Step {
        val remaining = formation.members.filter { it != formation.head }.mapNotNull { state.present(it.start) }
            .filter { it.membership?.group == formation.group && !left(formation, it) }
        val order = Order.Leave(formation.group)
        val due = remaining.filter { timing.due(formation.sent[it.id], order) }
        return when {
            remaining.isEmpty() -> Step.Release
            due.isEmpty() -> Step.Wait
            else -> Step.Send(due.map { AddressedOrder(it, order) })
        }
    }

    private fun left(formation: Formation, member: Instance): Boolean {
        val last = formation.sent[member.id] ?: return false
        return last.order is Order.Leave && last.outcome == OrderOutcome.Accepted
    }

    private companion object {
        /** Time for the head of an ending group to finish what it runs. */
        val CLOSE_LIMIT = 8.seconds
    }
}
