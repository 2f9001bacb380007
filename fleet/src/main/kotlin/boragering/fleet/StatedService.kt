package boragering.fleet

import kotlinx.collections.immutable.PersistentList
import kotlin.time.Duration

/**
 * A service with its stated values.
 *
 * @property coldTime time for which instances are cold after a start; zero if it is not stated.
 * @property coldRate requests per second that a cold instance takes; 0 if it is not stated.
 * @property models all models, in the order of the document, including those that are ignored or replaced.
 */
data class StatedService(
    val profile: ServiceProfile,
    val coldTime: Duration,
    val coldRate: Double,
    val models: PersistentList<ModelProfile>,
)
