package boragering.daemon

import boragering.adapters.MetricRegistry
import boragering.core.EntryName
import boragering.core.GroupId
import boragering.core.Problem
import boragering.core.ProblemKind
import boragering.core.RequestMetrics
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Records request metrics, counters and durations in seconds, in a [MetricRegistry]. */
internal class RequestCounters(registry: MetricRegistry) : RequestMetrics {
    private val queueTime =
        registry.durationHistogram("boragering_queue_seconds", "time that requests waited for a slot")
    private val firstPartTime =
        registry.durationHistogram("boragering_first_part_seconds", "time to an answer's first part")
    private val requestTime = registry.durationHistogram("boragering_request_seconds", "time until the request ended")
    private val dispatched = registry.entryCounter("boragering_dispatches", "requests sent to a target")
    private val retried = registry.entryCounter("boragering_retries", "requests sent once more")
    private val foreignParts =
        registry.entryCounter("boragering_foreign_parts", "dropped parts of other requests' answers")
    private val ejected = registry.entryCounter("boragering_ejections", "targets ejected for a time")
    private val claimWrites = registry.counter { name("boragering_claim_writes").help("writes of claim documents") }
    private val claims = registry.counter { name("boragering_claims").help("operations on claims") }
    private val ended =
        registry.counter {
            name("boragering_requests").help("ended requests").labelNames("entry", "result", "outcome")
        }

    override fun admitted(entry: EntryName, waited: Duration) = queueTime.record(entry.value, waited)

    override fun dispatched(entry: EntryName, group: GroupId) = dispatched.labelValues(entry.value).inc()

    override fun retried(entry: EntryName) = retried.labelValues(entry.value).inc()

    override fun firstPart(entry: EntryName, after: Duration) = firstPartTime.record(entry.value, after)

    override fun foreignPart(entry: EntryName, group: GroupId) = foreignParts.labelValues(entry.value).inc()

    override fun ended(entry: EntryName, problem: Problem?, after: Duration) {
        // An entry name that is not in the catalogue is arbitrary caller input and must not become a metric label.
        val name = if (problem?.kind == ProblemKind.UNKNOWN_ENTRY) "unknown" else entry.value
        ended.labelValues(name, problem?.kind?.wireName ?: "complete", problem?.outcome?.wireName ?: "ran").inc()
        requestTime.record(name, after)
    }

    override fun ejected(entry: EntryName, group: GroupId) = ejected.labelValues(entry.value).inc()

    override fun claimsWritten(claims: Int) {
        claimWrites.inc()
        this.claims.inc(claims.toLong())
    }

    private fun Histogram.record(entry: String, time: Duration) =
        labelValues(entry).observe(time.toDouble(DurationUnit.SECONDS))

    private fun MetricRegistry.entryCounter(name: String, help: String): Counter =
        counter { name(name).help(help).labelNames("entry") }
}
