package boragering.fleet

import boragering.core.FabricDomain

/**
 * Decides when a group is formed whose members are in different fabric domains, and when such a group ends.
 *
 * A group across domains runs several times slower than others, so that it is only better than none. It is formed for a
 * model that is short of capacity if no group of the model can be formed within a domain; it may use the instances that
 * a domain keeps to replace lost members. It ends once a group within a domain serves the model and the members are
 * needed elsewhere or the model is not short any more.
 *
 * @param formations the groups that the planner has formed or adopted.
 * @param state the pool as it is listed.
 */
internal class CrossDomainPlan(
    private val input: CompositionInput,
    private val formations: List<Formation>,
    private val state: PoolState,
) {
    private val slowdown = input.engine.crossDomainSlowdown

    /** Returns the group to form from the [free] instances, which are in no group; `null` if none. */
    fun compose(free: List<Instance>): Composition? {
        if (slowdown == null) return null
        val byDomain = free.groupBy { it.groupDomain } - input.waiting
        return input.engine.models.values.filter { isShort(it.name) }.firstNotNullOfOrNull { composition(it, byDomain) }
    }

    /**
     * Returns the group across domains that ends now, with the reason; `null` if there is none. Only one ends at a
     * time, because two may be needed for the same group within a domain.
     */
    fun ending(): Pair<Formation, String>? =
        formations.filter { it.crossesDomains && it.phase != FormationPhase.ENDING && replaced(it) }
            .firstNotNullOfOrNull { formation -> endReason(formation)?.let { formation to it } }

    /**
     * Whether callers of [model] are rejected and its groups serve less than half of its demand, or it has no group.
     */
    private fun isShort(model: ModelName): Boolean {
        val demand = state.shortages[model] ?: return false
        val capacity = formations.filter { it.model == model && it.phase != FormationPhase.ENDING }
            .sumOf { if (it.crossesDomains) 1 / (slowdown ?: 1.0) else 1.0 }
        return capacity == 0.0 || capacity < demand * SUFFICIENT_SHARE
    }

    private fun composition(model: ModelProfile, free: Map<FabricDomain, List<Instance>>): Composition? {
        val holders = free.mapValues { (_, instances) -> instances.filter { it.holds(model.name) } }
        val possible = holders.any { (domain, instances) ->
            instances.size >= model.groupSize && input.leavesSpares(model, domain, free.getValue(domain).size)
        }
        if (possible) return null
        val available = holders.filterNot { (domain, instances) -> completesSoon(model, domain, instances.size) }
            .entries.sortedWith(compareBy({ -it.value.size }, { it.key.value }))
            .flatMap { (_, instances) -> instances.sortedBy { input.joinCost(it, model.name) } }
        val members = available.take(model.groupSize)
        return if (members.size < model.groupSize) null else Composition(model.name, members)
    }

    /** Whether weight loads in progress complete a group of [model] in [domain], which has [holders] of the model. */
    private fun completesSoon(model: ModelProfile, domain: FabricDomain, holders: Int): Boolean {
        val staging = input.free[domain].orEmpty()
            .count { input.staging[it.start] == model.name && !it.holds(model.name) }
        return staging > 0 && holders + staging >= model.groupSize
    }

    private fun replaced(formation: Formation): Boolean = formations.any {
        it.model == formation.model && it.phase == FormationPhase.SERVING && !it.crossesDomains
    }

    private fun endReason(formation: Formation): String? = when {
        state.demandKnown && formation.model !in state.shortages -> "its model is no longer short"
        else -> neededFor(formation)?.let { "its members are needed for $it" }
    }

    private fun neededFor(formation: Formation): ModelName? = input.engine.models.values
        .filter { it.name in state.shortages || input.lacksGroups(it) }
        .firstOrNull { completesGroup(formation, it) }?.name

    private fun completesGroup(formation: Formation, model: ModelProfile): Boolean {
        val members = formation.members.mapNotNull { state.find(it.start) }.groupBy { it.groupDomain }
        return members.any { (domain, released) ->
            val free = input.free[domain].orEmpty()
            val holders = free.count { it.holds(model.name) }
            holders < model.groupSize && holders + released.count { it.holds(model.name) } >= model.groupSize &&
                input.leavesSpares(model, domain, free.size + released.size)
        }
    }

    private companion object {
        /** Fraction of a model's demand that its groups must serve for it not to be short. */
        const val SUFFICIENT_SHARE = 0.5
    }
}
