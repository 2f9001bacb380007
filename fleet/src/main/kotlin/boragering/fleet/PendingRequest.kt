package boragering.fleet

import kotlin.time.Duration

/** A request that an [AdmissionLane] sends, lets wait or rejects. */
interface PendingRequest {
    /** What the admission depends on. */
    val admission: AdmissionRequest

    /** Sends the request if a target has capacity. */
    fun trySend(): SendResult

    /** Called when the request has to wait; [position] requests are ahead of it. */
    fun onQueued(position: Int, expectedWait: Duration)

    /** Called when the request has been sent after it had waited. */
    fun onDequeued()

    /** Rejects the request. */
    fun reject(rejection: AdmissionRejection)
}
