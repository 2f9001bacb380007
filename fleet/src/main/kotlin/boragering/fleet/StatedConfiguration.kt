package boragering.fleet

import kotlinx.collections.immutable.PersistentList

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
