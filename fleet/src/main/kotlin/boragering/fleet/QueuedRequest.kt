package boragering.fleet

import boragering.core.OrganisationName

/** A [request] that waits in an [AdmissionQueue]; [number] is its place in the order of arrival. */
internal class QueuedRequest(val request: PendingRequest, val number: Long) {
    val organisation: OrganisationName? get() = request.admission.organisation

    /** Sort orders. */
    companion object {
        val BY_DEADLINE = compareBy<QueuedRequest>({ it.request.admission.deadline }, { it.number })
        val BY_WAIT_END = compareBy<QueuedRequest>({ it.request.admission.waitUntil }, { it.number })
    }
}
