package boragering.fleet

import boragering.core.FabricDomain

/** A proposal to end [formation], so that its members can complete a group of [model]. */
internal data class Reassignment(val formation: Formation, val model: ModelName)

/**
 * Decides which group is dissolved for a model that has fewer groups than its share of the work. This counteracts the
 * effect of steady losses: a large group loses a member more often than a small one. Its other members would wait for a
 * weight load while small groups use up the free instances.
 *
 * @param serving the groups that serve requests.
 * @param state the pool as it is listed.
 */
internal class RegroupingPlan(
    private val input: CompositionInput,
    private val serving: List<Formation>,
    private val state: PoolState,
) {
    private val models = input.engine.models.values

    /**
     * Returns the smallest group whose members complete a group of the scarcest model and whose current model remains
     * less scarce than that model; `null` if there is none.
     */
    fun choose(): Reassignment? {
        val scarcest = models.minByOrNull(::supply) ?: return null
        val options = (input.usable.keys - input.waiting).flatMap { options(scarcest, it) }
        return options.minByOrNull { it.formation.members.size }
    }

    private fun options(model: ModelProfile, domain: FabricDomain): List<Reassignment> {
        val free = input.free[domain].orEmpty()
        val missing = model.groupSize - free.count { it.holds(model.name) }
        val beingStaged = free.count { input.staging[it.start] == model.name && !it.holds(model.name) }
        if (missing <= beingStaged) return emptyList()
        return serving.filter { !it.crossesDomains && it.members.first().groupDomain == domain }
            .filter { completes(it, model, missing) }
            .filter { free.size + it.members.size - model.groupSize >= input.sparesOf(domain) }
            .map { Reassignment(it, model.name) }
    }

    private fun completes(formation: Formation, model: ModelProfile, missing: Int): Boolean {
        val currentModel = models.firstOrNull { it.name == formation.model } ?: return false
        val remainingSupply = (assigned(currentModel) - currentModel.groupSize) / currentModel.weight
        val holders = formation.members.count { member -> state.find(member.start)?.holds(model.name) == true }
        return currentModel != model && holders >= missing && remainingSupply > supply(model)
    }

    /** Number of instances in groups of [model] in relation to its share of the work. */
    private fun supply(model: ModelProfile): Double = assigned(model) / model.weight

    private fun assigned(model: ModelProfile): Int = input.assigned[model.name] ?: 0
}
