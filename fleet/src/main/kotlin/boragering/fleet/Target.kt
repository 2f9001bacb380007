package boragering.fleet

import boragering.core.AvailabilityZone
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap

/**
 * A destination of requests: an instance of a service without groups, or a whole group, addressed through its head.
 *
 * @property slots requests that the target runs concurrently.
 * @property model the model that the group serves; `null` for a service without groups.
 * @property members the starts of all instances of the target; the first one receives the requests.
 * @property memberZones the availability zones of all members; [availabilityZone] is that of the head.
 * @property slowdown how many times slower the target runs than others because its members are in different fabric
 * domains; 1 for all other targets.
 */
data class Target(
    val service: ServiceName,
    val address: Address,
    val availabilityZone: AvailabilityZone,
    val slots: Int,
    val members: PersistentList<InstanceStart>,
    val model: ModelName? = null,
    val group: GroupEpoch? = null,
    val memberZones: PersistentSet<AvailabilityZone> = persistentSetOf(availabilityZone),
    val slowdown: Double = 1.0,
) {
    /** The start of the instance that receives the requests. */
    val head: InstanceStart = members.first()
}

/**
 * The targets that may get requests, derived from the list of instances and the configuration.
 *
 * @property withheld the targets that get no requests because a member is in an evacuated availability zone.
 */
class TargetTable private constructor(
    private val services: PersistentMap<ServiceName, PersistentList<Target>>,
    val withheld: List<Target> = emptyList(),
) {
    /** All targets that may get requests. */
    val all: List<Target> get() = services.values.flatten()

    /** Returns the targets of [service] that serve [model], or all its targets if [model] is `null`. */
    fun targets(service: ServiceName, model: ModelName?): List<Target> {
        val targets = services[service] ?: persistentListOf()
        return if (model == null) targets else targets.filter { it.model == null || it.model == model }
    }

    /** Whether targets of [service] that serve [model] are withheld, so that they get no requests. */
    fun withholds(service: ServiceName, model: ModelName?): Boolean =
        withheld.any { it.service == service && (model == null || it.model == null || it.model == model) }

    /** Creates target tables. */
    companion object {
        /** The table without targets. */
        val EMPTY = TargetTable(persistentMapOf())

        /** Creates a table with [targets], and withholds those with a member in one of the [evacuated] zones. */
        fun of(targets: Collection<Target>, evacuated: Set<AvailabilityZone> = emptySet()): TargetTable {
            val (withheld, open) = targets.partition { target -> target.memberZones.any { it in evacuated } }
            val services = open.groupBy { it.service }.mapValues { it.value.toPersistentList() }
            return TargetTable(services.toPersistentMap(), withheld)
        }
    }
}
