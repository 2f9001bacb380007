package boragering.scenarios

import boragering.standins.EngineRecord
import boragering.standins.OrderRecord
import boragering.standins.OrderVerdict
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * No request reaches a leader while a member of its group is missing, later than the evidence limit after the loss. The
 * loss is known from the leader's own pings, and more exactly from the driver's log of what it did to instances.
 */
internal class WholeGroupCheck(private val evidence: Evidence) : EvidenceCheck {
    private data class Span(val from: Long, val until: Long)

    override fun violations(): List<Violation> = evidence.engines.flatMap { leader ->
        val missing = (seenByLeader(leader) + causedByDriver(leader)).map { it.copy(from = it.from + LIMIT) }
        arrivals(leader).filter { (_, at) -> missing.any { at > it.from && at < it.until } }.map { (request, at) ->
            Violation("whole group", "request $request reached ${leader.instance} at $at: a member was missing")
        }
    }

    /** Requests that ran, and those that were refused because a member was missing. */
    private fun arrivals(leader: EngineRecord): List<Pair<String, Long>> =
        leader.requests.map { it.request to it.accepted } +
            leader.refusals.filterNot { it.notRun }.map { it.request to it.at }

    private fun seenByLeader(leader: EngineRecord): List<Span> = leader.presence.mapIndexedNotNull { index, change ->
        val next = leader.presence.getOrNull(index + 1)
        val replaced = leader.orders.firstOrNull { it.verdict == OrderVerdict.ACCEPTED && it.at > change.at }
        val until = minOf(next?.at ?: Long.MAX_VALUE, replaced?.at ?: Long.MAX_VALUE)
        if (change.present) null else Span(change.at, until)
    }

    private fun causedByDriver(leader: EngineRecord): List<Span> {
        val orders = leader.orders.filter { it.verdict == OrderVerdict.ACCEPTED }
        return orders.flatMapIndexed { index, order ->
            val end = orders.getOrNull(index + 1)?.at ?: Long.MAX_VALUE
            evidence.absences.filter { it.concerns(order, leader) }
                .map { Span(maxOf(it.from, order.at), minOf(it.until ?: Long.MAX_VALUE, end)) }
        }
    }

    private fun Absence.concerns(record: OrderRecord, leader: EngineRecord): Boolean =
        instance != leader.instance && record.order.leader == leader.instance &&
            record.order.members.any { it.instance == instance }

    private companion object {
        val evidenceLimit: Duration = 2.5.seconds

        /** A request that was sent in time can be on its way, or wait for a busy machine, for this long. */
        val transit: Duration = 250.milliseconds

        val LIMIT = (evidenceLimit + transit).inWholeMilliseconds
    }
}
