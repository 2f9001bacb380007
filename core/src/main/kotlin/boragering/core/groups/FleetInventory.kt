package boragering.core.groups

import boragering.core.AvailabilityZone
import boragering.core.EntryName
import boragering.core.FabricDomain
import boragering.core.Incarnation
import boragering.core.InstanceId
import boragering.core.catalogue.Catalogue
import boragering.core.catalogue.Entry
import boragering.core.catalogue.ModelEntry
import boragering.core.catalogue.ServiceEntry
import boragering.core.membership.Membership

/** Active replicas of one entry in one domain; [outdated] ones do not match the entry as it is now. */
data class ReplicaCount(val current: Int, val outdated: Int) {
    /** All active replicas. */
    val total: Int get() = current + outdated
}

/**
 * Counts of spare instances and replicas by domain, derived from the live list and all divisions. A daemon computes the
 * counts once for all domains that it plans.
 */
class FleetInventory private constructor(
    private val sparesByPool: Map<String, Map<FabricDomain, Int>>,
    private val replicas: Map<EntryName, Map<FabricDomain, ReplicaCount>>,
    private val memberships: Map<InstanceId, List<Membership>>,
    private val zones: Map<FabricDomain, AvailabilityZone>,
) {
    /** Number of spare instances of [pool] by domain. */
    fun spares(pool: String): Map<FabricDomain, Int> = sparesByPool[pool].orEmpty()

    /** The availability zone of a domain with listed instances. */
    fun zone(domain: FabricDomain): AvailabilityZone? = zones[domain]

    /** Active replicas of [entry] by domain. */
    fun replicas(entry: EntryName): Map<FabricDomain, ReplicaCount> = replicas[entry].orEmpty()

    /** Whether the division of a domain other than [domain] lists [instance] with [incarnation]. */
    fun isMemberElsewhere(instance: InstanceId, incarnation: Incarnation, domain: FabricDomain): Boolean =
        memberships[instance].orEmpty().any { it.domain != domain && it.incarnation == incarnation }

    /** The membership of an instance in a group of the division of [domain]. */
    class Membership(val domain: FabricDomain, val incarnation: Incarnation)

    companion object {
        /** Counts the instances in [listed] and the groups in [divisions]. */
        fun of(
            catalogue: Catalogue,
            listed: Iterable<ListedInstance>,
            divisions: Map<FabricDomain, Division>,
        ): FleetInventory {
            val memberships = memberships(divisions.values)
            val unusable = divisions.mapValues { it.value.unusable.toSet() }
            val spare = listed.filter { instance ->
                val domain = instance.fabricDomain
                instance.state == ListedState.LIVE && instance.id !in unusable[domain].orEmpty() &&
                    memberships[instance.id].orEmpty().none { it.domain == domain }
            }
            val sparesByPool = spare.groupBy { it.pool }
                .mapValues { (_, instances) -> instances.groupingBy { it.fabricDomain }.eachCount() }
            val zones = listed.sortedByDescending { it.id.value }.associate { it.fabricDomain to it.availabilityZone }
            return FleetInventory(sparesByPool, replicas(catalogue, divisions), memberships, zones)
        }

        private fun memberships(divisions: Iterable<Division>): Map<InstanceId, List<Membership>> =
            divisions
                .flatMap { division ->
                    division.groups.flatMap { group ->
                        group.members.map { it.instance to Membership(division.domain, it.incarnation) }
                    }
                }
                .groupBy({ it.first }, { it.second })

        private fun replicas(
            catalogue: Catalogue,
            divisions: Map<FabricDomain, Division>,
        ): Map<EntryName, Map<FabricDomain, ReplicaCount>> {
            val counts = HashMap<EntryName, HashMap<FabricDomain, ReplicaCount>>()
            for (division in divisions.values) {
                for (group in division.groups) {
                    val entry = catalogue.entries[group.entry]
                    if (entry == null || group.phase != GroupPhase.Active) continue
                    counts.getOrPut(group.entry) { HashMap() }
                        .merge(division.domain, group.count(entry)) { a, b -> a + b }
                }
            }
            return counts
        }

        private operator fun ReplicaCount.plus(other: ReplicaCount) =
            ReplicaCount(current + other.current, outdated + other.outdated)

        private fun Group.count(entry: Entry) = if (matches(entry)) ReplicaCount(1, 0) else ReplicaCount(0, 1)
    }
}

/** Whether the group has the size, model and version that [wanted] states now. */
internal fun Group.matches(wanted: Entry): Boolean = when (wanted) {
    is ServiceEntry -> model == null && members.size == 1
    is ModelEntry ->
        members.size == wanted.groupSize && model == wanted.model && modelVersion == wanted.modelVersion
}
