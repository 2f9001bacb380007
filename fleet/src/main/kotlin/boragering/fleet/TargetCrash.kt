package boragering.fleet

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
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

/**
 * A request that was lost with its target.
 *
 * @property parts the parts of its prompt that others may share, in order.
 * @property sentAt when it was sent, by the monotonic clock.
 * @property proven those parts of which the gateway knows that requests with them were answered.
 */
data class LostRequest(
    val parts: PersistentList<PromptPart>,
    val sentAt: Duration,
    val proven: PersistentList<PromptPart> = persistentListOf(),
)
