package boragering.fleet

import boragering.core.FabricDomain

/**
 * Decides when a group is formed whose members are in different fabric domains, and when such a group ends.
 *
 * A group across domains runs several times slower than others, so that it is only better than none. It is formed for a
 * model that is short of capacity if no group of the model can be formed within a domain. It ends once a group within a
 * domain serves the model and the members are needed elsewhere or the model is not short any more.
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

    /** Returns the group across domains to form from the [free] instances, which are in no group; `null` if none. */
    fun compose(free: List<Instance>): Composition? {
        if (slowdown == null) return null
        val byDomain = free.groupBy { it.groupDomain }
        return input.engine.models.values.filter { short(it.name) }.firstNotNullOfOrNull { composition(it, byDomain) }
    }

    /** Returns the groups across domains that end, with the reason. */
    fun ending(): List<Pair<Formation, String>> =
        formations.filter { it.crossesDomains && it.phase != FormationPhase.ENDING && replaced(it) }
            .mapNotNull { formation -> endReason(formation)?.let { formation to it } }

    /**
     * Whether callers of [model] are rejected and its groups serve less than half of its demand, or it has no group.
     */
    private fun short(model: ModelName): Boolean {
        val demand = state.shortages[model] ?: return false
        val capacity = formations.filter { it.model == model && it.phase != FormationPhase.ENDING }
            .sumOf { if (it.crossesDomains) 1 / (slowdown ?: 1.0) else 1.0 }
        return capacity == 0.0 || capacity < demand * SUFFICIENT_SHARE
    }

    private fun composition(model: ModelProfile, free: Map<FabricDomain, List<Instance>>): Composition? {
        val holders = free.mapValues { (_, instances) -> instances.filter { it.holds(model.name) } }
        if (holders.values.any { it.size >= model.groupSize }) return null
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
        return holders + staging >= model.groupSize
    }

    private fun replaced(formation: Formation): Boolean = formations.any {
        it.model == formation.model && it.phase == FormationPhase.SERVING && !it.crossesDomains
    }

    private fun endReason(formation: Formation): String? = when {
        state.demandKnown && formation.model !in state.shortages -> "its model is no longer short"
        else -> input.engine.models.values.firstOrNull { completesGroup(formation, it) }
            ?.let { "its members are needed for ${it.name}" }
    }

    private fun completesGroup(formation: Formation, model: ModelProfile): Boolean {
        val members = formation.members.mapNotNull { state.find(it.start) }.filter { it.holds(model.name) }
        return members.groupBy { it.groupDomain }.any { (domain, released) ->
            val free = input.free[domain].orEmpty().count { it.holds(model.name) }
            free < model.groupSize && free + released.size >= model.groupSize
        }
    }

    private companion object {
        /** Fraction of a model's demand that its groups must serve for it not to be short. */
        const val SUFFICIENT_SHARE = 0.5
    }
}
