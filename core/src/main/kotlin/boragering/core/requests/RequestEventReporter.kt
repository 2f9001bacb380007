package boragering.core.requests

import boragering.core.Candidate
import boragering.core.GroupId
import boragering.core.Problem
import boragering.core.timeline.TimelineEntry
import kotlin.time.Duration

/** Reports the events of one request to the timeline and the metrics. */
internal class RequestEventReporter(private val ports: RequestPorts, private val plan: RequestPlan) {
    private val entry = plan.entry.name

    fun admitted(slot: Slot) {
        record("request-admitted", "waited ${elapsed()}", slot.candidate.group)
    }

    fun dispatched(candidate: Candidate, attempt: Int) {
        ports.metrics.dispatched(entry, candidate.group)
        record("request-dispatched", "attempt $attempt to ${candidate.address}", candidate.group)
    }

    fun retried(candidate: Candidate, reason: String) {
        ports.metrics.retried(entry)
        record("request-retried", reason, candidate.group)
    }

    fun foreign(candidate: Candidate) {
        ports.metrics.foreignPart(entry, candidate.group)
        record("foreign-part-dropped", "a part of another request's answer was dropped", candidate.group)
    }

    fun firstPart(at: Duration?) {
        if (at != null) ports.metrics.firstPart(entry, at - plan.arrivedAt)
    }

    fun ended(problem: Problem?) {
        ports.metrics.ended(entry, problem, elapsed())
        val text = problem?.let { "${it.kind.wireName}, ${it.outcome.wireName}: ${it.detail}" } ?: "complete"
        record("request-ended", "$text after ${elapsed()}")
    }

    fun cancelled() = record("request-cancelled", "the caller went away after ${elapsed()}")

    private fun elapsed(): Duration = ports.clock.monotonic() - plan.arrivedAt

    private fun record(kind: String, text: String, group: GroupId? = null) =
        ports.timeline.record(TimelineEntry(kind, text, group = group, request = plan.request.id, entry = entry))
}
