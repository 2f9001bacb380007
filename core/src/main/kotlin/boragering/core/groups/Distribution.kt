package boragering.core.groups

import boragering.core.AvailabilityZone
import boragering.core.EntryName
import boragering.core.FabricDomain
import boragering.core.catalogue.Catalogue
import boragering.core.catalogue.ModelEntry

/**
 * How many replicas of each model entry each domain should have. It follows from catalogue, live list and divisions
 * alone, so that the planners of all domains come to the same result from the same inputs. Existing replicas stay where
 * they are. Planners with different inputs can form more replicas than wanted; the surplus is drained later.
 */
class Distribution private constructor(
    private val shares: Map<EntryName, Map<FabricDomain, Int>>,
    private val surpluses: Map<EntryName, Map<FabricDomain, Int>>,
    private val unplaced: Map<EntryName, Int>,
) {
    /** Replicas of [entry] that [domain] should have, outdated ones included. */
    fun share(entry: EntryName, domain: FabricDomain): Int = shares[entry]?.get(domain) ?: 0

    /** Replicas of [entry] that [domain] should drain because there are more than wanted. */
    fun surplus(entry: EntryName, domain: FabricDomain): Int = surpluses[entry]?.get(domain) ?: 0

    /** Wanted replicas of [entry] for which no domain has enough spare instances. */
    fun unplaced(entry: EntryName): Int = unplaced[entry] ?: 0

    companion object {
        /** Distributes the replicas that [catalogue] wants. */
        fun of(catalogue: Catalogue, fleet: Fleet): Distribution {
            val demands = catalogue.entries.values.filterIsInstance<ModelEntry>().map { Demand(it, fleet) }
            demands.groupBy { it.entry.pool }.forEach { (pool, sharing) -> place(sharing, PoolSpares(fleet, pool)) }
            return Distribution(
                demands.associate { it.entry.name to it.shares },
                demands.associate { it.entry.name to it.surpluses },
                demands.associate { it.entry.name to it.missing },
            )
        }

        /** Places one replica after the other, for the entry that has the smallest part of what it wants. */
        private fun place(sharing: List<Demand>, spares: PoolSpares) {
            sharing.forEach { it.removeSurplus() }
            val open = sharing.filterTo(ArrayList()) { it.missing > 0 }
            while (open.isNotEmpty()) {
                val demand = open.minWith(Demand.ORDER)
                if (!demand.placeOne(spares) || demand.missing == 0) open.remove(demand)
            }
        }
    }
}

/** The replicas of one entry while they are being distributed. */
private class Demand(val entry: ModelEntry, fleet: Fleet) {
    private val existing = fleet.replicas(entry.name)
    private val perZone = HashMap<AvailabilityZone?, Int>()

    /** Replicas by domain, existing and placed. */
    val shares: MutableMap<FabricDomain, Int> = existing.mapValuesTo(HashMap()) { it.value.total }

    /** Replicas to drain by domain. */
    val surpluses = HashMap<FabricDomain, Int>()

    /** Wanted replicas that have no place yet. */
    var missing = 0
        private set

    /**
     * Takes replicas that are too many first from domains in which current ones replace outdated ones, one each, then
     * from those with outdated ones, one each, then from those with the most.
     */
    fun removeSurplus() {
        val total = shares.values.sum()
        missing = (entry.replicas - total).coerceAtLeast(0)
        repeat(total - entry.replicas) {
            val domain = shares.filterValues { it > 0 }.keys.maxWith(
                compareBy<FabricDomain>({ rank(it) }, { shares.getValue(it) }).thenByDescending { it.value },
            )
            shares.merge(domain, -1, Int::plus)
            surpluses.merge(domain, 1, Int::plus)
        }
    }

    /** Places one replica, spreading over availability zones, then domains; `false` when there is no space. */
    fun placeOne(spares: PoolSpares): Boolean {
        if (perZone.isEmpty()) {
            shares.forEach { (domain, count) -> perZone.merge(spares.zone(domain), count, Int::plus) }
        }
        val place = spares.places(entry.groupSize).minWithOrNull(
            compareBy<SpareDomain>({ perZone[it.zone] ?: 0 }, { shares[it.domain] ?: 0 }, { -it.count })
                .thenBy { it.domain.value },
        ) ?: return false
        place.count -= entry.groupSize
        shares.merge(place.domain, 1, Int::plus)
        perZone.merge(place.zone, 1, Int::plus)
        missing--
        return true
    }

    private fun rank(domain: FabricDomain): Int {
        val count = existing[domain]
        return when {
            count == null || domain in surpluses -> 0
            count.outdated > 0 && count.current > 0 -> 2
            count.outdated > 0 -> 1
            else -> 0
        }
    }

    companion object {
        /** Less served entries first, then more urgent ones. */
        val ORDER = compareBy<Demand>({ (it.entry.replicas - it.missing).toDouble() / it.entry.replicas })
            .thenByDescending { it.entry.requestClass.urgency }
            .thenBy { it.entry.name.value }
    }
}

/** Spare instances of a pool while replicas are being placed. */
private class PoolSpares(private val fleet: Fleet, pool: String) {
    private val domains = fleet.spares(pool).map { (domain, count) -> SpareDomain(domain, fleet.zone(domain), count) }

    /** The domains that have at least [size] spare instances. */
    fun places(size: Int): List<SpareDomain> = domains.filter { it.count >= size }

    /** The availability zone of a domain that has listed instances. */
    fun zone(domain: FabricDomain): AvailabilityZone? = fleet.zone(domain)
}

/** One domain's spare instances of a pool. */
private class SpareDomain(val domain: FabricDomain, val zone: AvailabilityZone?, var count: Int)
