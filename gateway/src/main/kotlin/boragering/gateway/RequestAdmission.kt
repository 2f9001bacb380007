package boragering.gateway

import boragering.fleet.AdmissionLane
import boragering.fleet.AdmissionRejection
import boragering.fleet.AdmissionRequest
import boragering.fleet.Choice
import boragering.fleet.PendingRequest
import boragering.fleet.SendResult
import kotlin.time.Duration

/**
 * The admission of one request for a service whose capacity is shared by urgency. The request holds no target while it
 * waits. [send] makes its first attempt, at a target below the given occupancy. Runs on the event loop.
 */
internal class RequestAdmission(
    private val state: GatewayState,
    private val routed: RoutedRequest,
    private val lane: AdmissionLane,
    private val send: (Double) -> Choice,
    private val onEnded: Listener,
) : PendingRequest {
    private val log = AdmissionLog(state, routed)

    /** Handles the end of a request that was not sent. */
    interface Listener {
        /** Whether the request has ended. */
        val ended: Boolean

        /** Called when the request is rejected as not run. */
        fun onRejected(rejection: AdmissionRejection)

        /** Called when there is no target for the request. */
        fun onNoTarget()
    }

    override val admission = AdmissionRequest(
        organisation = routed.organisation,
        urgency = routed.priority,
        targetLatency = routed.route.targetLatency,
        arrivedAt = routed.arrivedAt,
        deadline = routed.deadline,
        caller = state.admission.classify(routed),
    ).let { lane.rejectedCallers.correct(it, state.ports.gatewayCount()) }

    /** Sends the request, lets it wait or rejects it. */
    fun begin() = lane.offer(this, state.now())

    /** Ends the wait of the request, if it waits. */
    fun withdraw() = lane.withdraw(this)

    override fun trySend(): SendResult = when (send(lane.demand.occupancyLimit(admission, state.now()))) {
        // A target whose connections are all in use fails the request at once.
        is Choice.Chosen -> if (onEnded.ended) SendResult.ENDED else SendResult.SENT
        Choice.Full -> SendResult.FULL
        Choice.None -> {
            onEnded.onNoTarget()
            SendResult.ENDED
        }
    }

    override fun onQueued(position: Int, expectedWait: Duration) {
        log.queued(admission, position, expectedWait)
        state.admission.onQueued()
    }

    override fun onDequeued() = log.dequeued(admission)

    override fun reject(rejection: AdmissionRejection) {
        log.rejected(admission, rejection)
        onEnded.onRejected(rejection)
    }
}
