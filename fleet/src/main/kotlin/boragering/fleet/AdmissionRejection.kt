package boragering.fleet

import kotlin.time.Duration

/**
 * The rejection of a request that was not sent.
 *
 * @property position number of requests ahead of it.
 * @property expectedWait the wait that was expected for it.
 * @property retryAfter time after which the caller should come back.
 */
data class AdmissionRejection(
    val reason: RejectionReason,
    val position: Int,
    val expectedWait: Duration,
    val retryAfter: Duration,
)
