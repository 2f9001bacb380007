package boragering.fleet

import boragering.core.InstanceId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** A snapshot of the listed instances. [revision] grows with each change of the list. */
data class InstanceList(
    val revision: Long,
    val instances: PersistentMap<InstanceId, Instance> = persistentMapOf(),
) {
    /** The listed instances of [service]. */
    fun of(service: ServiceName): List<Instance> = instances.values.filter { it.service == service }
}
