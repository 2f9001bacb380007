package boragering.gateway

import boragering.adapters.MetricRegistry
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Metrics of the requests of callers and of the attempts to send them to targets. */
class GatewayMetrics(registry: MetricRegistry) {
    private val answers =
        registry.counter {
            name("boragering_gateway_answers").help("answers to callers").labelNames("route", "status", "origin")
        }
    private val attempts =
        registry.counter { name("boragering_gateway_attempts").help("sends to targets").labelNames("outcome") }
    private val latency = registry.durationHistogram("boragering_gateway_answer_seconds", "time until an answer ended")
    private val firstByte =
        registry.durationHistogram("boragering_gateway_first_byte_seconds", "time until an answer began")

    private val crashes =
        registry.counter { name("boragering_gateway_target_crashes").help("targets that ended during a request") }

    private val quarantines =
        registry.counter { name("boragering_gateway_quarantines").help("prompt parts kept from targets") }

    private val zoneSends =
        registry.counter {
            name("boragering_gateway_zone_sends").help("sends within and across availability zones").labelNames("zone")
        }

    internal fun recordZoneSend(home: Boolean) = zoneSends.labelValues(if (home) "home" else "away").inc()

    private val admissionWaits =
        registry.durationHistogram("boragering_admission_wait_seconds", "time that requests waited for capacity")

    private val admissionRejections =
        registry.counter {
            name("boragering_admission_rejections").help("requests without capacity").labelNames("route", "reason")
        }

    internal fun recordAdmissionWait(route: String, wait: Duration) =
        admissionWaits.labelValues(route).observe(wait.toDouble(DurationUnit.SECONDS))

    internal fun recordAdmissionRejection(route: String, reason: String) =
        admissionRejections.labelValues(route, reason).inc()

    private val pausedStreams =
        registry.counter { name("boragering_gateway_paused_streams").help("pauses of streams for want of memory") }

    internal fun recordPausedStream() = pausedStreams.inc()

    private val documentLimits =
        registry.counter {
            name("boragering_document_limits").help("times that a limit for documents was met").labelNames("kind")
        }

    internal fun recordDocumentLimit(kind: String) = documentLimits.labelValues(kind).inc()

    internal fun recordTargetCrash() = crashes.inc()

    internal fun recordQuarantine() = quarantines.inc()

    internal fun recordResponse(route: String, status: Int, origin: String, after: Duration) {
        answers.labelValues(route, status.toString(), origin).inc()
        latency.labelValues(route).observe(after.toDouble(DurationUnit.SECONDS))
    }

    internal fun recordFirstByte(route: String, after: Duration) =
        firstByte.labelValues(route).observe(after.toDouble(DurationUnit.SECONDS))

    internal fun recordAttempt(outcome: String) = attempts.labelValues(outcome).inc()
}
