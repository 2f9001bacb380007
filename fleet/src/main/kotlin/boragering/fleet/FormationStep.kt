package boragering.fleet

import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the next step of a formation is. */
internal sealed interface Step {
    /** Nothing to do now. */
    data object Wait : Step

    /** Send these orders. */
    data class Send(val orders: List<AddressedOrder>) : Step

    /** The members are free. */
    data object Release : Step
}

/** Decides the next step of one formation from what the list shows. */
internal class FormationStep(private val state: PoolState, private val now: Duration) {
    fun next(formation: Formation): Step {
        inspect(formation)
        return when (formation.phase) {
            FormationPhase.FORMING -> form(formation)
            FormationPhase.SERVING -> Step.Wait
            FormationPhase.ENDING -> end(formation)
        }
    }

    private fun inspect(formation: Formation) {
        val present = formation.members.map { state.present(it.start) }
        val headState = headState(formation)
        when {
            present.any { it == null } -> formation.end(now, "a member is lost", lost = true)
            present.any { it?.state == InstanceState.LEAVING } -> formation.end(now, "a member leaves", lost = false)
            headState == MemberState.BROKEN -> formation.end(now, "the head gave the group up", lost = true)
            formation.model == null -> formation.end(now, "the members of the group are not known", lost = true)
            formation.phase == FormationPhase.SERVING && headState != MemberState.OPEN ->
                formation.end(now, "the head does not serve the group any more", lost = true)
            formation.phase == FormationPhase.SERVING && present.any { it?.membership?.group != formation.group } ->
                formation.end(now, "a member is in another group", lost = true)
            formation.phase == FormationPhase.FORMING && headState == MemberState.OPEN ->
                formation.phase = FormationPhase.SERVING
        }
    }

    private fun form(formation: Formation): Step {
        val model = formation.model ?: return Step.Wait
        val present = formation.members.mapNotNull { state.present(it.start) }
        val outside = present.filter { it.membership?.group != formation.group }
        return when {
            formation.sent.values.any { it.outcome == OrderOutcome.Superseded } -> give(formation, "a newer epoch exists")
            now - formation.since > FORMATION_LIMIT -> give(formation, "the group is not complete in time")
            outside.isNotEmpty() -> joins(formation, model, outside)
            present.all { it.membership?.state == MemberState.READY } -> open(formation, present.first())
            else -> Step.Wait
        }
    }

    private fun give(formation: Formation, why: String): Step {
        formation.end(now, why, lost = true)
        return Step.Wait
    }

    private fun joins(formation: Formation, model: ModelName, outside: List<Instance>): Step {
        val join = Order.Join(formation.group, model, formation.members.map { it.id }.toPersistentList())
        val due = outside.filter { due(formation.sent[it.id], join, LIST_LIMIT) }
        return if (due.isEmpty()) Step.Wait else Step.Send(due.map { AddressedOrder(it, join) })
    }

    private fun open(formation: Formation, head: Instance): Step {
        val order = Order.Open(formation.group)
        if (!due(formation.sent[head.id], order, state.engine.formationTime + LIST_LIMIT)) return Step.Wait
        formation.openUncertain = true
        return Step.Send(listOf(AddressedOrder(head, order)))
    }

    private fun end(formation: Formation): Step {
        val head = state.present(formation.head.start)
        val membership = head?.membership?.takeIf { it.group == formation.group }
        return when {
            head == null -> leaveWithoutHead(formation)
            left(formation, head) -> Step.Release
            membership == null -> Step.Release
            membership.state == MemberState.OPEN || membership.state == MemberState.CLOSING -> close(formation, head)
            formation.openUncertain -> order(formation, head, Order.Leave(formation.group))
            else -> Step.Release
        }
    }

    private fun close(formation: Formation, head: Instance): Step {
        val since = formation.endingSince ?: now
        val patient = !formation.memberLost && now - since < CLOSE_LIMIT
        return order(formation, head, if (patient) Order.Close(formation.group) else Order.Leave(formation.group))
    }

    private fun order(formation: Formation, head: Instance, order: Order): Step =
        if (due(formation.sent[head.id], order, CLOSE_LIMIT)) {
            Step.Send(listOf(AddressedOrder(head, order)))
        } else {
            Step.Wait
        }

    /**
     * A head that is not listed or does not answer may still be open, and return. Its members leave it first, so that
     * they never belong to two groups; a head without members runs nothing.
     */
    private fun leaveWithoutHead(formation: Formation): Step {
        val remaining = formation.members.drop(1).mapNotNull { state.present(it.start) }
            .filter { it.membership?.group == formation.group && !left(formation, it) }
        val order = Order.Leave(formation.group)
        val due = remaining.filter { due(formation.sent[it.id], order, LIST_LIMIT) }
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

    private fun headState(formation: Formation): MemberState? =
        state.present(formation.head.start)?.membership?.takeIf { it.group == formation.group }?.state

    /** Whether [order] has to be sent: it was not the last one, or it failed, or it had no effect within [patience]. */
    private fun due(last: SentOrder?, order: Order, patience: Duration): Boolean {
        if (last == null || last.order != order) return true
        val age = now - last.at
        return when (last.outcome) {
            null -> false
            OrderOutcome.Accepted -> age > patience
            OrderOutcome.Superseded -> false
            is OrderOutcome.Refused, is OrderOutcome.NotSent, is OrderOutcome.Unanswered -> age > RETRY_INTERVAL
        }
    }

    private companion object {
        /** Time within which the list shows what an accepted order changed. */
        val LIST_LIMIT = 3.seconds

        val RETRY_INTERVAL = 400.milliseconds

        /** Time for the head of an ending group to finish what it runs. */
        val CLOSE_LIMIT = 8.seconds

        val FORMATION_LIMIT = 120.seconds
    }
}
