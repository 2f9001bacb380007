package boragering.fleet

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlin.time.Duration

/**
 * The end of a target while it had requests of a gateway. Times are of that gateway's monotonic clock.
 *
 * @property at when the gateway lost its connections to the target.
 * @property lost the gateway's requests that were in progress at the target.
 */
data class TargetCrash(
    val target: InstanceStart,
    val service: ServiceName,
    val at: Duration,
    val lost: PersistentList<LostRequest>,
)

/** A request that was lost with its target: the [parts] of its prompt and when it was sent, by the monotonic clock. */
data class LostRequest(val parts: PersistentSet<PromptPart>, val sentAt: Duration)
