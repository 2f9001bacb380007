package boragering.gateway

import boragering.fleet.AdmissionRejection
import boragering.fleet.AdmissionRequest
import kotlin.time.Duration

/** Records the admission of one request in the log and the metrics. */
internal class AdmissionLog(private val state: GatewayState, private val routed: RoutedRequest) {
    private val route = routed.route.name

    fun queued(admission: AdmissionRequest, position: Int, expectedWait: Duration) =
        event("request-queued", admission) {
            mapOf(
                "position" to position,
                "expectedWait" to expectedWait,
                "longestWait" to admission.waitUntil - state.now(),
                "waiting" to state.admission.waiting,
            )
        }

    fun dequeued(admission: AdmissionRequest) {
        val waited = state.now() - admission.arrivedAt
        state.ports.metrics.recordAdmissionWait(route, waited)
        event("request-dequeued", admission) { mapOf("after" to waited, "waiting" to state.admission.waiting) }
    }

    fun rejected(admission: AdmissionRequest, rejection: AdmissionRejection) {
        state.ports.metrics.recordAdmissionRejection(route, rejection.reason.name.lowercase())
        event("admission-rejected", admission) {
            mapOf(
                "reason" to rejection.reason.text,
                "position" to rejection.position,
                "expectedWait" to rejection.expectedWait,
                "retryAfter" to rejection.retryAfter,
                "after" to state.now() - admission.arrivedAt,
            )
        }
    }

    private fun event(name: String, admission: AdmissionRequest, inputs: () -> Map<String, Any?>) =
        state.log.requestEvent(name, routed.id, LogPriority.ROUTINE) {
            val request = mapOf(
                "route" to route,
                "organisation" to admission.organisation,
                "urgency" to admission.urgency,
                "caller" to admission.caller,
            )
            request + inputs()
        }
}
