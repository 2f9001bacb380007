package boragering.fleet

import kotlinx.collections.immutable.PersistentList
import kotlin.time.Duration

/**
 * A configuration together with the stated values that [Configuration] corrects or leaves out.
 *
 * @property routes all routes, in the order of the document.
 * @property services all services, in the order of the document, including those that a later one of the same name
 * replaces.
 */
data class StatedConfiguration(
    val configuration: Configuration,
    val routes: PersistentList<StatedRoute>,
    val services: PersistentList<StatedService>,
)

/** A route with its stated number of [attempts], and whether its document states a priority. */
data class StatedRoute(val route: Route, val attempts: Int, val statesPriority: Boolean)

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
