package boragering.core.groups

import boragering.core.AvailabilityZone
import boragering.core.EntryName
import boragering.core.FabricDomain
import boragering.core.catalogue.Catalogue
import boragering.core.catalogue.ModelEntry

/**
 * The number of replicas of each model entry that each domain should have. It depends only on the catalogue, the live
 * list and the divisions, so that the planners of all domains compute the same result from the same inputs. Existing
 * replicas stay where they are. Planners with different inputs can together form more replicas than wanted; the surplus
 * is drained later.
 */
class ReplicaDistribution private constructor(
    private val shares: Map<EntryName, Map<FabricDomain, Int>>,
    private val surpluses: Map<EntryName, Map<FabricDomain, Int>>,
    private val unplaced: Map<EntryName, Int>,
) {
    /** Returns the number of replicas of [entry] that [domain] should have, including outdated ones. */
    fun share(entry: EntryName, domain: FabricDomain): Int = shares[entry]?.get(domain) ?: 0

    /** Returns the number of replicas of [entry] that [domain] should drain because there are more than wanted. */
    fun surplus(entry: EntryName, domain: FabricDomain): Int = surpluses[entry]?.get(domain) ?: 0

    /** Returns the number of wanted replicas of [entry] for which no domain has enough spare instances. */
    fun unplaced(entry: EntryName): Int = unplaced[entry] ?: 0

    companion object {
        /** Distributes the replicas that [catalogue] asks for over the domains of [fleet]. */
        fun of(catalogue: Catalogue, fleet: FleetInventory): ReplicaDistribution {
            val placements = catalogue.entries.values.filterIsInstance<ModelEntry>().map { EntryPlacement(it, fleet) }
            placements.groupBy { it.entry.pool }.forEach { (pool, inPool) ->
                placeReplicas(inPool, PoolCapacity(fleet, pool))
            }
            return ReplicaDistribution(
                placements.associate { it.entry.name to it.shares },
                placements.associate { it.entry.name to it.surpluses },
                placements.associate { it.entry.name to it.missing },
            )
        }

        /** Places one replica at a time, always for the entry with the lowest fraction of its replicas placed. */
        private fun placeReplicas(placements: List<EntryPlacement>, spares: PoolCapacity) {
            placements.forEach { it.removeSurplus() }
            val incomplete = placements.filterTo(ArrayList()) { it.missing > 0 }
            while (incomplete.isNotEmpty()) {
                val placement = incomplete.minWith(EntryPlacement.ORDER)
                if (!placement.placeReplica(spares) || placement.missing == 0) incomplete.remove(placement)
            }
        }
    }
}

/** The replicas of one entry while they are being distributed. */
private class EntryPlacement(val entry: ModelEntry, fleet: FleetInventory) {
    private val existing = fleet.replicas(entry.name)
    private val replicasByZone = HashMap<AvailabilityZone?, Int>()

    /** Number of existing and newly placed replicas by domain. */
    val shares: MutableMap<FabricDomain, Int> = existing.mapValuesTo(HashMap()) { it.value.total }

    /** Number of replicas to drain by domain. */
    val surpluses = HashMap<FabricDomain, Int>()

    /** Number of wanted replicas that are not yet placed. */
    var missing = 0
        private set

    /**
     * Selects the domains that drain replicas when there are more than wanted. The order is: domains with both current
     * and outdated replicas, one replica each; domains with only outdated replicas, one each; domains with the most
     * replicas.
     */
    fun removeSurplus() {
        val total = shares.values.sum()
        missing = (entry.replicas - total).coerceAtLeast(0)
        repeat(total - entry.replicas) {
            val domain = shares.filterValues { it > 0 }.keys.maxWith(
                compareBy<FabricDomain>({ drainPriority(it) }, { shares.getValue(it) }).thenByDescending { it.value },
            )
            shares.merge(domain, -1, Int::plus)
            surpluses.merge(domain, 1, Int::plus)
        }
    }

    /**
     * Places one replica in the availability zone, then the domain, with the fewest replicas of the entry. Returns
     * `false` when no domain has enough spare instances.
     */
    fun placeReplica(spares: PoolCapacity): Boolean {
        if (replicasByZone.isEmpty()) {
            shares.forEach { (domain, count) -> replicasByZone.merge(spares.zone(domain), count, Int::plus) }
        }
        val target = spares.domainsWithSpares(entry.groupSize).minWithOrNull(
            compareBy<DomainCapacity>({ replicasByZone[it.zone] ?: 0 }, { shares[it.domain] ?: 0 }, { -it.count })
                .thenBy { it.domain.value },
        ) ?: return false
        target.count -= entry.groupSize
        shares.merge(target.domain, 1, Int::plus)
        replicasByZone.merge(target.zone, 1, Int::plus)
        missing--
        return true
    }

    private fun drainPriority(domain: FabricDomain): Int {
        val count = existing[domain]
        return when {
            count == null || domain in surpluses -> 0
            count.outdated > 0 && count.current > 0 -> 2
            count.outdated > 0 -> 1
            else -> 0
        }
    }

    companion object {
        /** Entries with the lowest fraction of placed replicas first, then the more urgent ones. */
        val ORDER = compareBy<EntryPlacement>({ (it.entry.replicas - it.missing).toDouble() / it.entry.replicas })
            .thenByDescending { it.entry.requestClass.urgency }
            .thenBy { it.entry.name.value }
    }
}

/** The spare instances of a pool that remain while replicas are being placed. */
private class PoolCapacity(private val fleet: FleetInventory, pool: String) {
    private val domains =
        fleet.spares(pool).map { (domain, count) -> DomainCapacity(domain, fleet.zone(domain), count) }

    /** The domains that have at least [size] spare instances. */
    fun domainsWithSpares(size: Int): List<DomainCapacity> = domains.filter { it.count >= size }

    /** The availability zone of a domain that has listed instances. */
    fun zone(domain: FabricDomain): AvailabilityZone? = fleet.zone(domain)
}

/** The number of spare instances of a pool that remain in one domain. */
private class DomainCapacity(val domain: FabricDomain, val zone: AvailabilityZone?, var count: Int)
